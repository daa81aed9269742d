#pragma once

#include "base/Time.h"
#include "gate/AnswerBuffer.h"
#include "gate/GateCore.h"

#include <optional>
#include <vector>

namespace tamarack {

/// One link that receives an answer.
struct AnswerSubscriber
{
    LinkId link = 0;
    std::uint64_t sent = 0;
    std::uint64_t acked = 0;
    bool headSent = false;
    bool endSent = false;
};

enum class GateRequestState : std::uint8_t {
    /// Waits until it can run alone.
    Held,
    Running,
    Done,
};

/// A request that spent its credit at this gate, with what is held of its answer.
struct GateRequest
{
    /// The dispatch; its body is dropped once started.
    Dispatch dispatch;
    GateRequestState state = GateRequestState::Held;
    std::optional<AnswerHead> head;
    AnswerBuffer answer;
    std::vector<AnswerSubscriber> subscribers;
    bool complete = false;
    ErrorKind endKind = ErrorKind::Internal;
    bool taken = false;
    bool answerDropped = false;
    bool firstByteSeen = false;
    /// The connection to the engine was lost and its stream is to be resumed.
    bool broken = false;
    std::uint64_t tokensAhead = 0;
    TimePoint startedAt{};
    TimePoint lastTokenAt{};
    TimePoint deadline{};
    TimePoint doneAt{};
    TimePoint lastSubscribedAt{};

    bool running() const { return state == GateRequestState::Running; }
    bool done() const { return state == GateRequestState::Done; }
    /// An adopted stream has no credit of this incarnation.
    bool adopted() const { return dispatch.credit == 0; }
};

} // namespace tamarack
