#pragma once

#include <cstdint>
#include <string>

namespace tamarack {

/// Identifies a resumable stream: the client's attempt that brought its first event, and the
/// content of the request.
using StreamKey = std::uint64_t;

/// The upstream incarnation that wrote the first event of a stream.
struct StreamOrigin
{
    StreamKey stream = 0;
    std::string upstreamId;
    std::uint64_t born = 0;
    /// Version of its software.
    std::string version;
    /// It is not certain which version wrote the event.
    bool ambiguous = false;

    bool operator==(const StreamOrigin &) const = default;
};

} // namespace tamarack
