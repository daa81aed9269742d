#pragma once

#include <optional>

namespace tamarack {

/// What an upstream says of itself in the head of an answer.
struct UpstreamStatement
{
    /// Requests a second that it takes from all entries together; none when it names no limit.
    std::optional<double> limitPerSecond;
    bool leaving = false;
    /// A header could not be read or is out of range: its part is unknown.
    bool malformed = false;
};

} // namespace tamarack
