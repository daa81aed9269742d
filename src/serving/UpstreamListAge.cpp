#include "serving/UpstreamListAge.h"

#include <algorithm>

namespace tamarack {

void UpstreamListAge::recordConfirmed(BootTime confirmedAt)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
}

void UpstreamListAge::recordTick(BootTime now)
{
    if (m_tickAt && now - *m_tickAt > standstill)
        m_resumedAt = now;
    m_tickAt = now;
}

bool UpstreamListAge::isCurrent(BootTime now) const
{
    const bool stoodStill = m_tickAt && now - *m_tickAt > standstill;
    return m_confirmedAt && !stoodStill && *m_confirmedAt >= m_resumedAt
           && now - *m_confirmedAt <= m_maxAge;
}

} // namespace tamarack
