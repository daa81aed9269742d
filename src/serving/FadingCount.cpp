#include "serving/FadingCount.h"

#include <cmath>

namespace tamarack {

void FadingCount::add(TimePoint now)
{
    m_weight = value(now) + 1;
    m_at = now;
}

double FadingCount::value(TimePoint now) const
{
    using Seconds = std::chrono::duration<double>;
    return m_weight * std::exp(-(Seconds(now - m_at) / Seconds(m_fadeTime)));
}

double FadingCount::perSecond(TimePoint now) const
{
    return value(now) / std::chrono::duration<double>(m_fadeTime).count();
}

} // namespace tamarack
