#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace tamarack {

/// Time since the host started. Unlike the monotonic clock it counts while the host is suspended.
using BootTime = std::chrono::nanoseconds;

/// The present `CLOCK_BOOTTIME`.
BootTime bootNow();

/// Knows how old the view of the configuration may be at most, so that a revoked key is refused
/// in time even by a host that is cut off or was suspended.
///
/// Load: the store is out or turns this host away while keys are taken away.
class FreshnessGuard
{
public:
    /// `bound`: time after which a revoked key must not work. `margin`: time that a proof may be
    /// too optimistic by.
    FreshnessGuard(std::chrono::milliseconds bound, std::chrono::milliseconds margin)
        : m_longestAge(bound - margin)
    {}

    /// A call of the store that began at `callStart` showed that the view is current.
    void prove(BootTime callStart);
    std::optional<std::chrono::milliseconds> age(BootTime now) const;
    /// Whether a request with a key may be sent to an upstream.
    bool isFresh(BootTime now) const;
    /// Whether the view is recent enough to say that a route or key does not exist.
    bool isCurrent(BootTime now) const;

private:
    std::chrono::milliseconds m_longestAge;
    std::optional<BootTime> m_provedAt;
};

} // namespace tamarack
