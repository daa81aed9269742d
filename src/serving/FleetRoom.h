#pragma once

#include "base/Time.h"
#include "serving/QueueRank.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace tamarack {

/// Demand of one rank for one service over all entries.
struct RankRoom
{
    /// Requests queued at this entry and at the others.
    std::uint32_t ownWaiting = 0;
    /// The part of `ownWaiting` that waits for a suitable upstream rather than for any place.
    std::uint32_t ownSelective = 0;
    std::uint32_t peerWaiting = 0;
    /// The part of `peerWaiting` that can no longer meet its objective.
    std::uint32_t peerLate = 0;
    /// The part of `peerWaiting` that waits for a suitable upstream.
    std::uint32_t peerSelective = 0;
    double arrivalsPerSecond = 0;
    double startsPerSecond = 0;
};

/// Demand for a service against its room, by rank and over all entries.
///
/// Designed for bursts of 3 to 10 s above capacity. The starts of one rank at one entry say little
/// in a tenth of a second, and a fixed part of the running requests is no measure of what higher
/// ranks will ask for: both led to refusals after 0.1 s with places free.
class FleetRoom
{
public:
    explicit FleetRoom(std::map<QueueRank, RankRoom> ranks)
        : m_ranks(std::move(ranks))
    {}

    /// Places that requests of the rank must leave to higher ranks; late requests also leave them
    /// to those of their own rank that are not late.
    int reserve(QueueRank rank, bool late) const;

    /// Starts per second that the rank can expect.
    double roomPerSecond(QueueRank rank) const;
    /// Requests of all entries that are expected to start before a request with `ownAhead` requests
    /// of its rank ahead of it at this entry.
    double ahead(QueueRank rank, std::size_t ownAhead) const;
    /// Expected wait of that request; `Duration::max()` if the rank has no room. `due`: requests
    /// that are expected and go ahead of it.
    Duration expectedWait(QueueRank rank, std::size_t ownAhead, double due = 0) const;

private:
    std::map<QueueRank, RankRoom> m_ranks;
};

} // namespace tamarack
