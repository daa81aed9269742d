#pragma once

#include "base/Time.h"
#include "config/FleetConfig.h"

#include <map>
#include <string>
#include <string_view>

namespace tamarack {

/// What decides how long a request may wait for an upstream.
struct WaitFacts
{
    TimePoint now{};
    Duration objective{};
    /// Longest pause of a stream that counts as on time; 0 for whole answers.
    Duration pauseBound{};
    bool stream = false;
    /// Time that is left to the client's deadline and the route's timeout.
    Duration timeLeft{};
    /// Time since the client asked first; 0 for a first attempt.
    Duration elapsed{};
};

/// How long the client of a stream waits for an event before it gives up; as the platform's
/// callers do.
Duration clientPatience(Duration objective, Duration pauseBound);

/// When a request that still waits is refused: early enough that its client is still there and
/// can come back.
///
/// Load: bursts in which not everything can be served. A first attempt is refused once it is
/// bound to be late, with time left to return; a returning one, which was refused before, may
/// wait longer, but not as long as its client's patience.
TimePoint refusalTime(const WaitFacts &facts);

/// Recognises returning clients: a later attempt has less time than its route's first ones.
class AttemptAge
{
public:
    /// Time since the client's first attempt; 0 when this is the first.
    Duration learn(std::string_view route, Duration deadline);

private:
    std::map<std::string, Duration, std::less<>> m_longest;
};

} // namespace tamarack
