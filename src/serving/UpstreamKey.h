#pragma once

#include <cstdint>

namespace tamarack {

/// Identifies an upstream in messages between entries: a hash of its id and start time.
using UpstreamKey = std::uint64_t;

} // namespace tamarack
