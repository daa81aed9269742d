#pragma once

#include "serving/UpstreamKey.h"

#include <span>
#include <string>
#include <string_view>

namespace tamarack {

/// The entries that share the rate limits of upstreams.
struct LimitMembers
{
    std::string own;
    /// The reachable entries that take requests, including this one if it does; in any order.
    std::span<const std::string> serving;
    /// Fraction of all possibly serving entries that is reachable.
    double reachableShare = 1;
};

/// Requests per second that this entry may send to an upstream whose limit for all entries together
/// is `perSecond`; 0: none.
///
/// Limits may be far below one request per second and entry, with 4 to 103 entries. An equal part
/// for each entry would be too small to use, and rounding it up to whole requests would exceed the
/// limit. The limit is therefore divided among only as many entries as can each send at a useful
/// rate. They are selected by rendezvous hashing of entry name and upstream, which every entry
/// computes locally. Entries with differing views of the membership may briefly select too many
/// holders; the recent sends that entries report to each other bound the excess. An entry that
/// reaches only a fraction of the fleet uses only that fraction of the limit.
double limitShare(UpstreamKey upstream, double perSecond, const LimitMembers &members);

/// Smallest useful rate per entry: a limit is not divided below it.
constexpr double smallestShare = 2;

} // namespace tamarack
