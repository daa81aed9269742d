#include "serving/FleetRoom.h"

#include <algorithm>

namespace tamarack {

namespace {

using Seconds = std::chrono::duration<double>;

/// Longer waits count as none to be expected.
constexpr Seconds longestWait{3600};
/// Waits are taken to last longer than the present rate says: in a peak, the rate is falling.
constexpr double waitMargin = 1.5;

/// Queued elsewhere and able to take any place.
std::uint32_t unselective(const RankRoom &room)
{
    return room.peerWaiting - std::min(room.peerSelective, room.peerWaiting);
}

} // namespace

int FleetRoom::reserve(QueueRank rank, bool late) const
{
    std::uint64_t places = 0;
    for (const auto &[other, room] : m_ranks) {
        const bool above = other < rank || (late && other == rank);
        if (!above)
            break;
        // Late requests of the own tier do not count, so that they cannot block each other.
        std::uint32_t waiting = unselective(room);
        if (tierOf(other) == tierOf(rank))
            waiting -= std::min(waiting, room.peerLate);
        places += waiting;
    }
    constexpr std::uint64_t mostPlaces = 1'000'000;
    return static_cast<int>(std::min(places, mostPlaces));
}

double FleetRoom::roomPerSecond(QueueRank rank) const
{
    double starts = 0;
    double arrivingAbove = 0;
    double own = 0;
    for (const auto &[other, room] : m_ranks) {
        starts += room.startsPerSecond;
        arrivingAbove += other < rank ? room.arrivalsPerSecond : 0;
        // What lower ranks start, this one may start before them.
        own += other >= rank ? room.startsPerSecond : 0;
    }
    return std::max(own, starts - arrivingAbove);
}

double FleetRoom::ahead(QueueRank rank, std::size_t ownAhead) const
{
    double ahead = 0;
    for (const auto &[other, room] : m_ranks)
        if (other < rank)
            ahead +=
                room.ownWaiting - std::min(room.ownSelective, room.ownWaiting) + unselective(room);
    const auto own = m_ranks.find(rank);
    if (own == m_ranks.end())
        return ahead + static_cast<double>(ownAhead);
    // The queues of the other entries are taken to be in the same state as this one.
    const double ownWaiting = std::max<double>(own->second.ownWaiting, 1);
    const double fleet = 1 + unselective(own->second) / ownWaiting;
    return ahead + static_cast<double>(ownAhead) * fleet;
}

Duration FleetRoom::expectedWait(QueueRank rank, std::size_t ownAhead, double due) const
{
    const double waiting = waitMargin * (ahead(rank, ownAhead) + due);
    if (waiting <= 0)
        return Duration::zero();
    const double perSecond = roomPerSecond(rank);
    if (waiting > perSecond * longestWait.count())
        return Duration::max();
    return std::chrono::duration_cast<Duration>(Seconds(waiting / perSecond));
}

} // namespace tamarack
