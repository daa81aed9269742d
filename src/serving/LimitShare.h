#pragma once

#include "serving/UpstreamKey.h"

#include <span>
#include <string>
#include <string_view>

namespace tamarack {

/// The entries among which limits of upstreams are shared.
struct LimitMembers
{
    std::string own;
    /// Those that are heard and take requests, this one included where it does; in any order.
    std::span<const std::string> serving;
    /// Part of all entries that may be serving that is heard.
    double heardShare = 1;
};

/// Requests a second that this entry may send to an upstream that takes `perSecond` from all
/// entries together; 0: none.
///
/// Load: limits far below a request a second and entry, at 4 to 103 entries. A part for each entry
/// would be of no use to any, and whole requests would break the limit. So a few entries share it:
/// as many as can each send at a useful rate, by a hash of their names and the upstream, worked out
/// by each entry for itself. Entries that hear unlike members hold it twice for a moment, within
/// the recent sends that they tell one another; those that are cut off use only the part of the
/// limit that is their part of the fleet.
double limitShare(UpstreamKey upstream, double perSecond, const LimitMembers &members);

/// Below this rate a limit is not divided further.
constexpr double smallestShare = 2;

} // namespace tamarack
