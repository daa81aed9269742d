#include "serving/LimitShare.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace tamarack {

double limitShare(UpstreamKey upstream, double perSecond, const LimitMembers &members)
{
    const auto rank = [upstream](std::string_view name) { return mixBits(fnv1a(name), upstream); };
    if (std::ranges::find(members.serving, members.own) == members.serving.end())
        return 0;
    const std::uint64_t own = rank(members.own);
    const auto before = static_cast<std::size_t>(std::ranges::count_if(
        members.serving, [&](const std::string &name) { return rank(name) > own; }));
    const double useful = std::ceil(perSecond / smallestShare);
    const double holders = std::clamp(useful, 1.0, static_cast<double>(members.serving.size()));
    if (static_cast<double>(before) >= holders)
        return 0;
    return perSecond * members.reachableShare / holders;
}

} // namespace tamarack
