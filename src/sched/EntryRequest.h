#pragma once

#include "base/Time.h"
#include "sched/EntryCore.h"

#include <optional>
#include <string>

namespace tamarack {

enum class EntryRequestState : std::uint8_t {
    Waiting,
    /// Holds a credit while its claim is being made durable.
    Claiming,
    /// Dispatched; the gate has not answered yet.
    Sent,
    /// The gate runs it; its answer is arriving.
    Answering,
    /// The link was lost; the gate is asked for the request's fate.
    Settling,
};

/// A credit in the hands of this entry.
struct HeldCredit
{
    Credit credit;
    Incarnation gate = 0;
    std::string gateName;
    TimePoint receivedAt{};
    TimePoint expires{};
};

/// One caller's request at its entry.
struct EntryRequest
{
    Submission submission;
    EntryRequestState state = EntryRequestState::Waiting;
    TimePoint arrivedAt{};
    TimePoint deadline{};
    bool alone = false;
    /// Where it was dispatched, or which request it follows.
    HeldCredit credit;
    /// Whose answer it receives: its own, or that of the request that holds its key.
    RequestId answerOf;
    std::uint64_t received = 0;
    std::uint64_t taken = 0;
    std::uint32_t crc = 0;
    bool headSeen = false;
    ClaimToken claim = 0;
    ClaimToken supersedes = 0;
    TimePoint settleBy{};
    TimePoint lastHeardAt{};

    bool following(RequestId own) const { return answerOf != own; }
    bool dispatched() const
    {
        return state == EntryRequestState::Sent || state == EntryRequestState::Answering
               || state == EntryRequestState::Settling;
    }
};

} // namespace tamarack
