#pragma once

#include "base/Time.h"

namespace tamarack {

/// What a software version that turns out to be bad may get before it is turned back.
struct RolloutBounds
{
    /// Largest share of the requests to its service.
    double exposeShare = 0.1;
    /// Requests that are allowed beyond the share, for all entries together.
    double exposeSlack = 0;
    /// Longest time for which it gets requests after it has shown to be bad.
    milliseconds rollback{5000};
};

} // namespace tamarack
