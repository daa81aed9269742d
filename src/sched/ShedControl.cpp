#include "sched/ShedControl.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr milliseconds minLevelDuration{1000};
/// Delay before a newly wanted level permits closing or shedding a tier, so that the report of an
/// entry that is just opening a tier arrives first.
constexpr milliseconds confirmDelay{250};
constexpr double releaseShare = 0.8;

} // namespace

void ShedControl::setTierCount(std::size_t count)
{
    m_tierCount = count;
    m_wantedSince.assign(count + 1, TimePoint::max());
}

void ShedControl::observeGate(Incarnation gate, const GateHeartbeat &heartbeat, TimePoint now)
{
    m_gates[gate] = {heartbeat.wantedLevel, heartbeat.closedLevel, heartbeat.promisedLevel, now};
}

void ShedControl::update(std::span<const TierQueue> queues, TimePoint now)
{
    updateWanted(localWanted(queues), now);
    updateFleetWanted(now);
    updateClosed(now);
}

ShedLevel ShedControl::localWanted(std::span<const TierQueue> queues) const
{
    for (std::size_t tier = 0; tier < queues.size(); ++tier) {
        const TierQueue &queue = queues[tier];
        const ShedLevel below = tiersBelow(static_cast<TierRank>(tier));
        const double releaseBound = static_cast<double>(queue.limit) * releaseShare;
        const bool staysWanted =
            m_wanted > below && static_cast<double>(queue.waiting) > releaseBound;
        if (below > 0 && (queue.overdue || queue.waiting > queue.limit || staysWanted))
            return static_cast<ShedLevel>(below + 1);
    }
    return 0;
}

void ShedControl::updateWanted(ShedLevel wanted, TimePoint now)
{
    if (wanted >= m_wanted) {
        m_wanted = wanted;
        m_wantedUntil = now + minLevelDuration;
    } else if (now >= m_wantedUntil) {
        m_wanted = wanted;
    }
}

void ShedControl::updateFleetWanted(TimePoint now)
{
    m_fleetWanted = m_wanted;
    for (const auto &[gate, levels] : m_gates)
        m_fleetWanted = std::max(m_fleetWanted, levels.wanted);
    for (std::size_t level = 0; level < m_wantedSince.size(); ++level) {
        if (m_fleetWanted <= level)
            m_wantedSince[level] = TimePoint::max();
        else
            m_wantedSince[level] = std::min(m_wantedSince[level], now);
    }
}

ShedLevel ShedControl::targetLevel() const
{
    return static_cast<ShedLevel>(std::max<int>(m_fleetWanted, 1) - 1);
}

ShedLevel ShedControl::promisedLevel() const
{
    return std::min(m_closed, targetLevel());
}

void ShedControl::updateClosed(TimePoint now)
{
    const ShedLevel target = targetLevel();
    if (target >= m_closed)
        m_closedUntil = now + minLevelDuration;
    if (target > m_closed && permitted(m_closed, now))
        ++m_closed;
    if (target >= m_closed || now < m_closedUntil)
        return;
    // Unless a recent heartbeat shows that no entry is at a higher level, another entry may still
    // depend on this level to shed.
    const auto fresh = [this, now](const auto &row) {
        return now - row.second.receivedAt <= m_validity;
    };
    const auto above = [this](const auto &row) { return row.second.closed > m_closed; };
    if (std::ranges::any_of(m_gates, fresh) && std::ranges::none_of(m_gates, above))
        --m_closed;
}

bool ShedControl::permitted(ShedLevel below, TimePoint now) const
{
    if (below == 0)
        return true;
    const bool wantedLongEnough = below < m_wantedSince.size() && m_wantedSince[below] <= now
                                  && now - m_wantedSince[below] >= confirmDelay;
    if (!wantedLongEnough || promisedLevel() < below)
        return false;
    bool anyFresh = false;
    for (const auto &[gate, levels] : m_gates) {
        if (now - levels.receivedAt > m_validity)
            continue;
        anyFresh = true;
        if (levels.promised < below)
            return false;
    }
    return anyFresh;
}

} // namespace tamarack
