#pragma once

#include "base/Time.h"
#include "config/FleetConfig.h"

#include <map>
#include <string>
#include <string_view>

namespace tamarack {

/// Inputs that determine how long a request may wait for an upstream.
struct WaitFacts
{
    TimePoint now{};
    Duration objective{};
    /// Longest acceptable pause between events of a stream; 0 for responses that are not streamed.
    Duration pauseBound{};
    bool stream = false;
    /// Time left until the earlier of the client's deadline and the route's timeout.
    Duration timeLeft{};
    /// Time since the client's first attempt; 0 if this is the first.
    Duration elapsed{};
    /// Being served counts also after the objective.
    bool lateIsServed = false;
};

/// How long the client of a stream waits for an event before it gives up, according to the
/// behaviour of the platform's callers.
Duration clientIdleTimeout(Duration objective, Duration pauseBound);

/// Time at which a request is refused if it is still queued: early enough that its client is still
/// connected and can retry.
///
/// Designed for bursts that exceed the capacity. A first attempt is refused once it is bound to
/// miss its objective, with time left to retry. A retry after a refusal may wait longer, but not
/// until its client gives up. The same holds for first attempts where late is served.
TimePoint refusalTime(const WaitFacts &facts);

/// Detects retries by their deadline: a retry has less time left than first attempts on its route.
class AttemptAgeEstimator
{
public:
    /// Records the time left to the deadline and returns the estimated time since the client's
    /// first attempt; 0 if this is the first.
    Duration learn(std::string_view route, Duration deadline);

private:
    std::map<std::string, Duration, std::less<>> m_longestDeadline;
};

} // namespace tamarack
