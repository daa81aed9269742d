#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace tamarack {

/// Time since the host started. Unlike the monotonic clock it counts while the host is suspended.
using BootTime = std::chrono::nanoseconds;

/// Reads `CLOCK_BOOTTIME`.
BootTime bootNow();

/// Bounds the age of the local copy of the configuration, so that a revoked key is refused in time
/// even by a host that is partitioned from the store or was suspended.
///
/// Covers keys that are revoked while the store is unavailable or rejects this host's calls.
class FreshnessGuard
{
public:
    /// `bound`: time after which a revoked key must no longer work. `margin`: how much newer a
    /// proof may make the configuration appear than it is.
    FreshnessGuard(std::chrono::milliseconds bound, std::chrono::milliseconds margin)
        : m_maxAge(bound - margin)
    {}

    /// Records that a store call started at `callStart` confirmed the local copy to be current.
    void recordProof(BootTime callStart);
    std::optional<std::chrono::milliseconds> age(BootTime now) const;
    /// Whether a request authorized by a key may be sent to an upstream.
    bool isFresh(BootTime now) const;
    /// Whether the local copy is recent enough to report that a route or key does not exist.
    bool isCurrent(BootTime now) const;

private:
    std::chrono::milliseconds m_maxAge;
    std::optional<BootTime> m_provedAt;
};

} // namespace tamarack
