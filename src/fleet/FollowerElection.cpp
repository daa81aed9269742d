#include "fleet/FollowerElection.h"

#include "base/Hash.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <utility>

namespace tamarack {

std::vector<std::string> electFollowers(std::span<const FleetMember> members,
                                        std::string_view dataCentre)
{
    std::vector<std::pair<std::uint64_t, std::string>> candidates;
    for (const FleetMember &member : members)
        if (member.dataCentre == dataCentre && !member.leaving)
            candidates.emplace_back(fnv1a(member.name), member.name);
    const std::size_t count = std::min(candidates.size(), followersPerDataCentre);
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<std::string> elected;
    for (std::size_t i = 0; i < count; ++i)
        elected.push_back(std::move(candidates[i].second));
    return elected;
}

std::vector<std::string> electAllFollowers(std::span<const FleetMember> members)
{
    std::set<std::string_view> dataCentres;
    for (const FleetMember &member : members)
        dataCentres.insert(member.dataCentre);
    std::vector<std::string> all;
    for (const std::string_view dataCentre : dataCentres)
        std::ranges::move(electFollowers(members, dataCentre), std::back_inserter(all));
    return all;
}

} // namespace tamarack
