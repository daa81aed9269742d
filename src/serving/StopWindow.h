#pragma once

#include "base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// Decides during a planned stop which requests can still be served. A request that would still run
/// when the process ends must not be sent, so that "not run" is true; any other one is served.
///
/// Must hold when clients send requests up to the end of the grace period, and when requests wait
/// or are retried late in it.
class StopWindow
{
public:
    /// Records how long an upstream has taken to serve a request of the route.
    void recordServed(const std::string &route, Duration took);
    /// Responses must have been sent by `end`.
    void beginStop(TimePoint end) { m_end = end; }

    /// Latest end of a request that must be answered by `deadline`.
    TimePoint cap(TimePoint deadline) const;
    /// Whether a request sent now is expected to be served before the end. `deadline`: the latest
    /// time at which it ends by itself.
    bool admits(std::string_view route, TimePoint deadline, TimePoint now) const;

private:
    std::optional<TimePoint> m_end;
    /// Longest recent time to serve a request, by route.
    std::map<std::string, Duration, std::less<>> m_longest;
};

} // namespace tamarack
