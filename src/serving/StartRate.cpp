#include "serving/StartRate.h"

#include <cmath>

namespace tamarack {

namespace {

/// Time in which a start loses most of its weight: shorter than a burst, longer than the pause
/// between starts of one rank at one entry.
constexpr double fadeSeconds = 0.7;

} // namespace

void StartRate::count(TimePoint now)
{
    m_weight = faded(now) + 1;
    m_at = now;
}

double StartRate::perSecond(TimePoint now) const
{
    return faded(now) / fadeSeconds;
}

double StartRate::faded(TimePoint now) const
{
    return m_weight * std::exp(-std::chrono::duration<double>(now - m_at).count() / fadeSeconds);
}

} // namespace tamarack
