#pragma once

#include "base/Time.h"
#include "serving/FreshnessGuard.h"

#include <optional>

namespace tamarack {

/// Decides whether the local list of upstreams is recent enough to tell which software version an
/// upstream has. Times are those of the boot clock, which also counts suspensions.
///
/// Upstreams may join or restart with another version while this entry is cut off or stands still,
/// and clients send it requests as soon as it runs again.
class UpstreamListAge
{
public:
    /// `maxAge`: longest time between two confirmations while this entry reaches the store or a
    /// follower.
    explicit UpstreamListAge(milliseconds maxAge)
        : m_maxAge(maxAge)
    {}

    /// Records that the list was confirmed to be current at `confirmedAt`.
    void recordConfirmed(BootTime confirmedAt);
    /// Call periodically; a longer time between two calls means that the process stood still.
    void recordTick(BootTime now);
    bool isCurrent(BootTime now) const;

    /// Shortest time without a tick that counts as standing still.
    static constexpr milliseconds standstill{1000};

private:
    milliseconds m_maxAge;
    std::optional<BootTime> m_confirmedAt;
    std::optional<BootTime> m_tickAt;
    /// The process ran again at this time.
    BootTime m_resumedAt{};
};

} // namespace tamarack
