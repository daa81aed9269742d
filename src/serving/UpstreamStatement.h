#pragma once

#include "base/Time.h"

#include <optional>

namespace tamarack {

/// What an upstream says of itself in the head of an answer.
struct UpstreamStatement
{
    /// Requests a second that it takes from all entries together; none when it names no limit.
    std::optional<double> limitPerSecond;
    bool leaving = false;
    /// It turned the request away and wants none from this entry for so long.
    std::optional<milliseconds> closedFor;
    /// A header could not be read or is out of range: its part is unknown.
    bool malformed = false;
};

} // namespace tamarack
