#pragma once

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

enum class RolloutVerdict : std::uint8_t { Open, Good, Bad };

/// Answers of one side of a roll-out to requests of one kind, counted since the order.
struct RolloutTally
{
    bool isNew = false;
    std::uint8_t routeTier = 0;
    std::uint32_t answers = 0;
    std::uint32_t failures = 0;
    /// Answers that took several times the expected time.
    std::uint32_t slow = 0;

    bool operator==(const RolloutTally &) const = default;
};

/// What one process has seen of a roll-out since the order.
struct RolloutEvidence
{
    std::vector<RolloutTally> tallies;
    /// Upstreams of the new version with a failed or slow answer; bit `key % 64` of each.
    std::uint64_t failedUpstreams = 0;
    std::uint64_t slowUpstreams = 0;

    bool operator==(const RolloutEvidence &) const = default;
};

/// What an entry reports to the others about one order.
struct RolloutReport
{
    std::string service;
    std::string to;
    std::uint64_t created = 0;
    std::uint64_t revision = 0;
    RolloutVerdict verdict = RolloutVerdict::Open;
    /// Since an entry has seen the order first.
    milliseconds orderAge{0};
    /// Since the start of the entry's last read of the orders; none if it does not follow them.
    std::optional<milliseconds> proofAge;
    RolloutEvidence evidence;

    bool operator==(const RolloutReport &) const = default;
};

} // namespace tamarack
