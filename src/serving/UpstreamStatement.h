#pragma once

#include "base/Time.h"

#include <optional>

namespace tamarack {

/// What an upstream states about itself in the headers of a response.
struct UpstreamStatement
{
    /// Requests per second that it accepts from all entries together; none if it states no limit.
    std::optional<double> limitPerSecond;
    bool leaving = false;
    /// It refused the request and asked this entry to send none for this long.
    std::optional<milliseconds> closedFor;
    /// A header could not be parsed or is out of range; the value that it carries is unknown.
    bool malformed = false;
};

} // namespace tamarack
