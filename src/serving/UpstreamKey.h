#pragma once

#include <cstdint>

namespace tamarack {

/// Identity of an upstream in messages between entries: a hash of its id and start.
using UpstreamKey = std::uint64_t;

} // namespace tamarack
