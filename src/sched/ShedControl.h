#pragma once

#include "base/Time.h"
#include "peer/Messages.h"

#include <map>
#include <span>
#include <vector>

namespace tamarack {

/// State of the queue of one tier at this entry.
struct TierQueue
{
    std::size_t waiting = 0;
    std::size_t limit = 0;
    /// A request has been queued for longer than the limit on its time to first token.
    bool overdue = false;
};

/// Decides which tiers this entry closes and whether it may shed requests of a tier. A tier may be
/// shed only while every lower tier is known to be closed at every live entry of the fleet. The
/// closed level therefore rises one step at a time, each after all entries have promised the level
/// below, and falls one step at a time, each after no other entry is at a higher level.
class ShedControl
{
public:
    /// Heartbeats older than `validity` do not permit shedding. It must be shorter than the timeout
    /// after which gates remove an unresponsive entry.
    explicit ShedControl(Duration validity)
        : m_validity(validity)
    {}

    void setTierCount(std::size_t count);
    void observeGate(Incarnation gate, const GateHeartbeat &heartbeat, TimePoint now);
    void removeGate(Incarnation gate) { m_gates.erase(gate); }

    /// Re-evaluates the levels. `queues` is indexed by tier.
    void update(std::span<const TierQueue> queues, TimePoint now);

    ShedLevel wantedLevel() const { return m_wanted; }
    ShedLevel closedLevel() const { return m_closed; }
    ShedLevel promisedLevel() const;

    bool isClosed(TierRank tier) const { return tiersBelow(tier) < m_closed; }

    /// Whether a request of the tier may be shed for overload now.
    bool mayShed(TierRank tier, TimePoint now) const { return permitted(tiersBelow(tier), now); }

private:
    struct GateLevels
    {
        ShedLevel wanted = 0;
        ShedLevel closed = 0;
        ShedLevel promised = 0;
        TimePoint receivedAt{};
    };

    ShedLevel tiersBelow(TierRank tier) const
    {
        return static_cast<ShedLevel>(m_tierCount - 1 - tier);
    }
    ShedLevel targetLevel() const;
    ShedLevel localWanted(std::span<const TierQueue> queues) const;
    bool permitted(ShedLevel below, TimePoint now) const;
    void updateWanted(ShedLevel wanted, TimePoint now);
    void updateFleetWanted(TimePoint now);
    void updateClosed(TimePoint now);

    Duration m_validity;
    std::size_t m_tierCount = 1;
    std::map<Incarnation, GateLevels> m_gates;
    ShedLevel m_wanted = 0;
    /// Highest wanted level of the fleet: the own one and those reported by the gates.
    ShedLevel m_fleetWanted = 0;
    ShedLevel m_closed = 0;
    TimePoint m_wantedUntil{};
    TimePoint m_closedUntil{};
    /// For each level, since when the fleet's wanted level has continuously been above it.
    std::vector<TimePoint> m_wantedSince;
};

} // namespace tamarack
