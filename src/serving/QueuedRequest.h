#pragma once

#include "base/Time.h"
#include "serving/QueueRank.h"
#include "serving/UpstreamTable.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/// Identifies one stay of a request in the queue.
using Ticket = std::uint64_t;

/// Properties of a queued request that the queue needs.
struct QueuedRequest
{
    Ticket ticket = 0;
    std::string service;
    QueueRank rank = 0;
    std::uint32_t promptTokens = 0;
    /// Expected events of the response after its first; 0 for responses that are not streamed.
    std::uint32_t responseEvents = 0;
    /// Hash that identifies the last part of the prompt, for the prefix caches of engines; 0 if
    /// there is none.
    std::uint64_t prefix = 0;
    /// Time of the client's first attempt.
    TimePoint arrived{};
    /// When this attempt of the client was queued.
    TimePoint queuedAt{};
    /// Latest time at which the first token meets the objective.
    TimePoint objectiveAt{};
    /// Latency objective for the interval between two events; 0: none.
    Duration pauseObjective{};
    /// Latest time for the complete response.
    TimePoint deadlineAt = TimePoint::max();
    /// Time at which the request is refused if it is still queued.
    TimePoint refuseAt{};
    /// Software version of the upstreams at which the stream may go on; none if it is new.
    std::optional<std::string> version;
    /// Software versions that the request must not use.
    std::set<std::string> withheldVersions;
    /// The only upstreams that it may use; empty: all.
    std::vector<UpstreamKey> onlyAt;
    /// Upstreams that were already tried.
    std::vector<UpstreamKey> excluded;
    /// First attempt of the client: neither refused nor tried at an upstream before.
    bool isFirstAttempt = true;
};

} // namespace tamarack
