#pragma once

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack {

/// What the status of an order says.
enum class RolloutState : std::uint8_t { Ordered, Running, Completed, RolledBack };

constexpr bool isFinal(RolloutState state)
{
    return state == RolloutState::Completed || state == RolloutState::RolledBack;
}

/// Name for the log.
std::string_view rolloutStateName(RolloutState state);

/// The operator's order to move a service to upstreams of another software version.
struct RolloutOrder
{
    /// Name of the order's object in the store.
    std::string name;
    std::string service;
    /// The new version.
    std::string to;
    milliseconds duration{0};
    /// Revision at which the object was created, and that of its last change.
    std::uint64_t created = 0;
    std::uint64_t revision = 0;
    /// `Ordered` also when the status is about another version.
    RolloutState state = RolloutState::Ordered;

    /// Whether both are the same order; its status and duration may differ.
    bool isSame(const RolloutOrder &other) const
    {
        return service == other.service && to == other.to && created == other.created;
    }
    bool operator==(const RolloutOrder &) const = default;
};

} // namespace tamarack
