#pragma once

#include "base/Time.h"
#include "peer/Messages.h"

#include <map>
#include <span>

namespace tamarack {

/// Decides which tiers an entry closes and whether it may shed one. A tier is shed only while
/// every lower tier is known to be closed at every live entry of the fleet.
class ShedControl
{
public:
    /// Level reports older than `validity` do not permit shedding. Must be shorter than the
    /// silence bound after which gates forget an entry.
    explicit ShedControl(Duration validity)
        : m_validity(validity)
    {}

    void setTierCount(std::size_t count) { m_tierCount = count; }
    void observeGate(Incarnation gate, ShedLevel wanted, ShedLevel closed, TimePoint now);
    void removeGate(Incarnation gate) { m_gates.erase(gate); }

    /// Re-evaluates the levels. Spans are indexed by tier.
    void update(std::span<const std::size_t> queued, std::span<const std::size_t> limits,
                TimePoint now);

    ShedLevel wantedLevel() const { return m_wanted; }
    ShedLevel closedLevel() const { return m_closed; }

    bool isClosed(TierRank tier) const { return levelAbove(tier) < m_closed; }

    /// Whether a request of the tier may be shed for overload now.
    bool mayShed(TierRank tier, TimePoint now) const;

private:
    struct GateLevels
    {
        ShedLevel wanted = 0;
        ShedLevel closed = 0;
        TimePoint heardAt{};
    };

    /// Number of tiers below `tier`.
    ShedLevel levelAbove(TierRank tier) const
    {
        return static_cast<ShedLevel>(m_tierCount - 1 - tier);
    }

    Duration m_validity;
    std::size_t m_tierCount = 1;
    std::map<Incarnation, GateLevels> m_gates;
    ShedLevel m_wanted = 0;
    ShedLevel m_closed = 0;
    TimePoint m_wantedUntil{};
    TimePoint m_closedUntil{};
};

} // namespace tamarack
