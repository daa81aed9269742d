#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::soak {

enum class FaultKind : std::uint8_t {
    EntryKilled,
    EntryPaused,
    /// Stopped as planned, then started again.
    EntryStopped,
    EntryReloaded,
    StoreUnavailable,
    StoreBusy,
    StoreSilent,
    StoreForgets,
    StoreLinkRefused,
    StoreLinkSilent,
    StoreLinkOneWay,
    StoreLinkSlow,
    /// Connections are reset and refused for a while.
    UpstreamCrashed,
    UpstreamSilent,
    UpstreamSlow,
    UpstreamReset,
    /// Refuses, fails, breaks off or answers falsely.
    UpstreamMisbehaves,
    UpstreamLeaves,
    /// A key of the workspace is replaced by another.
    KeyChanged,
    /// What upstreams say of themselves: a limit, that they want nothing for a while, that they
    /// leave.
    UpstreamLimits,
    UpstreamCloses,
    UpstreamSaysItLeaves,
};

std::string_view faultName(FaultKind kind);

/// One disturbance of a run. What it needs of `target` and `variant` it takes modulo their range.
struct Fault
{
    FaultKind kind = FaultKind::EntryKilled;
    /// From the start of traffic.
    milliseconds at{0};
    milliseconds lasts{0};
    std::size_t target = 0;
    std::size_t variant = 0;
};

std::string toString(const Fault &fault);

/// Draws the faults of a run of that length, in the order of their time. The same seed gives the
/// same faults.
std::vector<Fault> drawFaults(std::uint64_t seed, milliseconds length);

} // namespace tamarack::soak
