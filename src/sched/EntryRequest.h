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
    /// Dispatched; the gate has not replied yet.
    Sent,
    /// Accepted by the gate; its response is being received.
    Answering,
    /// The link was lost or another request holds the key; the gate is queried for the outcome.
    Settling,
};

/// A credit held by this entry.
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
    /// The credit under which the request was last dispatched or claimed.
    HeldCredit credit;
    /// The request whose response it receives: itself, or the request that holds its key.
    RequestId answerOf;
    std::uint64_t received = 0;
    std::uint64_t taken = 0;
    std::uint32_t crc = 0;
    bool headReceived = false;
    ClaimToken claim = 0;
    ClaimToken supersedes = 0;
    TimePoint settleBy{};
    TimePoint lastReceivedAt{};

    bool following(RequestId own) const { return answerOf != own; }
    bool dispatched() const
    {
        return state == EntryRequestState::Sent || state == EntryRequestState::Answering
               || state == EntryRequestState::Settling;
    }
};

} // namespace tamarack
