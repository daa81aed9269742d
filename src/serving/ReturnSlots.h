#pragma once

#include "serving/QueueRank.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/// Clients of one service and rank with appointments, by time.
struct ReturnSlots
{
    std::string service;
    QueueRank rank = 0;
    /// Number of clients by slot of `ReturnBook::slotLength`; the first begins when the row is
    /// made.
    std::vector<std::uint16_t> counts;

    bool operator==(const ReturnSlots &) const = default;
};

} // namespace tamarack
