#include "gate/ConcurrencyLimit.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr double initialLimit = 8;
constexpr double lowestLimit = 1;
constexpr double allowedOverShare = 0.03;
constexpr double windowSmoothing = 0.15;
constexpr double decreaseFactor = 0.97;
constexpr double strongDecreaseFactor = 0.6;
constexpr double slowStartFactor = 1.3;
constexpr double increaseStep = 1;
constexpr double useShareForIncrease = 0.9;
constexpr int farOverFactor = 3;
constexpr int minimumSamples = 20;
constexpr milliseconds shortestWindow{100};
constexpr milliseconds longestWindow{1000};

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int highest)
    : m_highest(highest)
    , m_limit(std::min<double>(initialLimit, highest))
{}

void ConcurrencyLimit::recordGap(Duration gap, TimePoint now)
{
    if (m_windowStart == TimePoint{})
        m_windowStart = now;
    ++m_samples;
    m_overTarget += gap > m_target;
    m_farOverTarget += gap > farOverFactor * m_target;
}

void ConcurrencyLimit::evaluate(int inFlight, TimePoint now)
{
    m_peakUse = std::max(m_peakUse, inFlight);
    if (m_samples == 0)
        return;
    const Duration age = now - m_windowStart;
    if (age < shortestWindow || (m_samples < minimumSamples && age < longestWindow))
        return;
    const double overShare = static_cast<double>(m_overTarget) / m_samples;
    const double farOverShare = static_cast<double>(m_farOverTarget) / m_samples;
    // The tokens of one engine step are all late together, so a single window is a noisy sample;
    // the share is smoothed over several windows.
    m_overShare += windowSmoothing * (overShare - m_overShare);
    if (m_overShare > allowedOverShare || farOverShare > allowedOverShare) {
        m_slowStart = false;
        const double factor =
            farOverShare > allowedOverShare ? strongDecreaseFactor : decreaseFactor;
        m_limit = std::min(m_limit, std::max<double>(m_peakUse, lowestLimit)) * factor;
    } else if (m_peakUse >= m_limit * useShareForIncrease) {
        m_limit = m_slowStart ? m_limit * slowStartFactor : m_limit + increaseStep;
    }
    m_limit = std::clamp<double>(m_limit, lowestLimit, m_highest);
    resetWindow(now);
}

void ConcurrencyLimit::recordStall()
{
    m_slowStart = false;
    m_limit = std::max(lowestLimit, m_limit / 2);
}

int ConcurrencyLimit::limit() const
{
    return static_cast<int>(m_limit);
}

void ConcurrencyLimit::resetWindow(TimePoint now)
{
    m_windowStart = now;
    m_samples = 0;
    m_overTarget = 0;
    m_farOverTarget = 0;
    m_peakUse = 0;
}

} // namespace tamarack
