#pragma once

#include "base/RequestId.h"

#include <cstdint>
#include <functional>
#include <string>

namespace tamarack {

/// Callbacks of an `UpstreamClient`, all on the control context.
struct UpstreamEvents
{
    std::function<void(RequestId, std::uint16_t status, std::string contentType)> head;
    std::function<void(RequestId, std::string bytes, int tokens)> bytes;
    std::function<void(RequestId, bool complete)> end;
    std::function<void(RequestId)> refused;
    std::function<void(RequestId)> startFailed;
    std::function<void(RequestId)> broken;
};

} // namespace tamarack
