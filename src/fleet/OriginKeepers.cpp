#include "fleet/OriginKeepers.h"

#include "base/Hash.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace tamarack {

std::vector<std::string> originKeepers(StreamKey stream, const std::set<std::string> &names,
                                       std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(names.size());
    for (const std::string &name : names)
        ranked.emplace_back(mixBits(stream, fnv1a(name)), name);
    const std::size_t kept = std::min(count, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                              std::greater<>());
    std::vector<std::string> keepers;
    for (std::size_t i = 0; i < kept; ++i)
        keepers.push_back(std::move(ranked[i].second));
    return keepers;
}

} // namespace tamarack
