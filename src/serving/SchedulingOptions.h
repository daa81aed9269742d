#pragma once

namespace tamarack {

/// Features of the queue that a deployment switches on.
struct SchedulingOptions
{
    /// Judges waits and reserves by the demand and rates of all entries.
    bool fleetView = false;
    /// Being served counts also after the objective: first attempts may wait beyond it.
    bool lateIsServed = false;
    /// Makes appointments with refused clients and serves those who keep them first. Needs
    /// `fleetView`.
    bool appointments = false;

    bool operator==(const SchedulingOptions &) const = default;
};

} // namespace tamarack
