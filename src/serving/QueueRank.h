#pragma once

#include "config/FleetConfig.h"

#include <cstdint>

namespace tamarack {

/// Scheduling priority: by tier, then by the tier of the route. 0 is the highest priority, which is
/// served first and shed last.
using QueueRank = std::uint16_t;

constexpr QueueRank queueRank(TierRank tier, TierRank routeTier)
{
    return static_cast<QueueRank>(tier << 8U | routeTier);
}

constexpr TierRank tierOf(QueueRank rank)
{
    return static_cast<TierRank>(rank >> 8U);
}

constexpr TierRank routeTierOf(QueueRank rank)
{
    return static_cast<TierRank>(rank & 0xFFU);
}

} // namespace tamarack
