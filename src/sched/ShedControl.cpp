#include "sched/ShedControl.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr milliseconds levelHold{1000};
constexpr double calmShare = 0.8;

} // namespace

void ShedControl::observeGate(Incarnation gate, ShedLevel wanted, ShedLevel closed, TimePoint now)
{
    m_gates[gate] = {wanted, closed, now};
}

void ShedControl::update(std::span<const std::size_t> queued, std::span<const std::size_t> limits,
                         TimePoint now)
{
    ShedLevel wanted = 0;
    for (std::size_t tier = 0; tier < queued.size(); ++tier) {
        const ShedLevel level = levelAbove(static_cast<TierRank>(tier));
        const double calm = static_cast<double>(limits[tier]) * calmShare;
        const bool keeps = m_wanted >= level && static_cast<double>(queued[tier]) > calm;
        if (queued[tier] > limits[tier] || keeps)
            wanted = std::max(wanted, level);
    }
    if (wanted >= m_wanted) {
        m_wanted = wanted;
        m_wantedUntil = now + levelHold;
    } else if (now >= m_wantedUntil) {
        m_wanted = wanted;
    }
    ShedLevel closed = m_wanted;
    for (const auto &[gate, levels] : m_gates)
        closed = std::max(closed, levels.wanted);
    if (closed >= m_closed) {
        m_closed = closed;
        m_closedUntil = now + levelHold;
    } else if (now >= m_closedUntil) {
        m_closed = closed;
    }
}

bool ShedControl::mayShed(TierRank tier, TimePoint now) const
{
    const ShedLevel below = levelAbove(tier);
    if (below == 0)
        return true;
    if (m_closed < below || m_wanted < below)
        return false;
    bool anyFresh = false;
    for (const auto &[gate, levels] : m_gates) {
        if (now - levels.heardAt > m_validity)
            continue;
        anyFresh = true;
        if (levels.closed < below)
            return false;
    }
    return anyFresh;
}

} // namespace tamarack
