#pragma once

#include <cstdint>
#include <optional>

namespace tamarack {

/// What an upstream states of its load in a response.
struct UpstreamOccupancy
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Requests that it can run at once at this moment.
    std::uint32_t slots = 1;
    /// Time that work takes there at this moment, relative to the usual time; none if not stated.
    std::optional<double> pace;

    std::uint32_t requests() const { return running + waiting; }

    bool operator==(const UpstreamOccupancy &) const = default;
};

} // namespace tamarack
