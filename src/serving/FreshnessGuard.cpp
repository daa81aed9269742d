#include "serving/FreshnessGuard.h"

#include <algorithm>
#include <ctime>

namespace tamarack {

namespace {

/// An older copy may lack routes and keys that are already in force at other hosts.
constexpr std::chrono::milliseconds currentAge{3000};

} // namespace

BootTime bootNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

void FreshnessGuard::recordProof(BootTime callStart)
{
    m_provedAt = std::max(m_provedAt.value_or(callStart), callStart);
}

std::optional<std::chrono::milliseconds> FreshnessGuard::age(BootTime now) const
{
    if (!m_provedAt)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_provedAt);
}

bool FreshnessGuard::isFresh(BootTime now) const
{
    return m_provedAt && now - *m_provedAt < m_maxAge;
}

bool FreshnessGuard::isCurrent(BootTime now) const
{
    return m_provedAt && now - *m_provedAt < currentAge;
}

} // namespace tamarack
