#pragma once

#include "base/Time.h"
#include "gate/AnswerBuffer.h"
#include "gate/GateCore.h"

#include <optional>
#include <vector>

namespace tamarack {

/// A link that receives the response, and how far it has received it.
struct AnswerSubscriber
{
    LinkId link = 0;
    std::uint64_t sent = 0;
    std::uint64_t acked = 0;
    bool headSent = false;
    bool endSent = false;
};

enum class GateRequestState : std::uint8_t {
    /// Queued until it can run with no other request in flight.
    Held,
    Running,
    Done,
};

/// A request accepted by this gate or taken over from an earlier process, with the buffered
/// part of its response.
struct GateRequest
{
    /// The dispatch message; its body is cleared when the request starts.
    Dispatch dispatch;
    GateRequestState state = GateRequestState::Held;
    std::optional<AnswerHead> head;
    AnswerBuffer answer;
    std::vector<AnswerSubscriber> subscribers;
    bool complete = false;
    ErrorKind endKind = ErrorKind::Internal;
    /// No delivery is outstanding: the final acknowledgement arrived, or the request was abandoned
    /// or refused.
    bool delivered = false;
    bool answerDropped = false;
    bool firstByteSeen = false;
    /// The connection to the engine was lost and the stream has yet to be resumed.
    bool broken = false;
    std::uint64_t tokensAhead = 0;
    TimePoint startedAt{};
    TimePoint lastTokenAt{};
    TimePoint deadline{};
    TimePoint doneAt{};
    TimePoint lastSubscribedAt{};

    bool running() const { return state == GateRequestState::Running; }
    bool done() const { return state == GateRequestState::Done; }
    /// Whether the stream was taken over from an earlier process. Such a request has no credit
    /// of this incarnation.
    bool adopted() const { return dispatch.credit == 0; }
};

} // namespace tamarack
