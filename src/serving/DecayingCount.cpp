#include "serving/DecayingCount.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

void DecayingCount::add(TimePoint now, double weight)
{
    m_weight = value(now) + weight;
    m_at = std::max(m_at, now);
}

double DecayingCount::value(TimePoint now) const
{
    using Seconds = std::chrono::duration<double>;
    const Seconds age = std::max(Seconds::zero(), Seconds(now - m_at));
    return m_weight * std::exp(-(age / Seconds(m_timeConstant)));
}

double DecayingCount::perSecond(TimePoint now) const
{
    return value(now) / std::chrono::duration<double>(m_timeConstant).count();
}

} // namespace tamarack
