#pragma once

#include "base/RequestId.h"
#include "serving/StreamOrigin.h"

#include <optional>

namespace tamarack {

/// Asks another entry for the origin of a stream.
struct OriginRequest
{
    Incarnation requester = 0;
    StreamKey stream = 0;

    bool operator==(const OriginRequest &) const = default;
};

/// The response to an `OriginRequest`; without an origin, the entry does not know the stream.
struct OriginResponse
{
    Incarnation requester = 0;
    StreamKey stream = 0;
    std::optional<StreamOrigin> origin;

    bool operator==(const OriginResponse &) const = default;
};

} // namespace tamarack
