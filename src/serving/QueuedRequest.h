#pragma once

#include "base/Time.h"
#include "serving/QueueRank.h"
#include "serving/UpstreamTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/// Names one wait of one request in the queue.
using Ticket = std::uint64_t;

/// What the queue needs to know of a waiting request.
struct QueuedRequest
{
    Ticket ticket = 0;
    std::string service;
    QueueRank rank = 0;
    std::uint32_t promptTokens = 0;
    /// Expected events of the answer after its first; 0 when it does not stream.
    std::uint32_t answerEvents = 0;
    /// Identity of the prompt's last part, for the caches of engines; 0: none.
    std::uint64_t prefix = 0;
    /// When the client asked first; earlier attempts count.
    TimePoint arrived{};
    /// Until when the first token counts as on time.
    TimePoint objectiveAt{};
    /// The whole answer must be there then.
    TimePoint deadlineAt = TimePoint::max();
    /// It is refused when it still waits then.
    TimePoint refuseAt{};
    /// Upstreams at which it was tried before.
    std::vector<UpstreamKey> excluded;
    /// Its client asks for the first time; neither refused nor tried before.
    bool isFirst = true;
};

} // namespace tamarack
