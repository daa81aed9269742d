#pragma once

#include "serving/ServingConfig.h"
#include "tamarackseam/ErrorKind.h"

#include <cstdint>

namespace tamarack {

/// How an attempt at an upstream ended.
enum class AttemptEnd : std::uint8_t {
    /// No connection: no byte was sent.
    NotSent,
    /// The upstream states that it did not run the request.
    NotExecuted,
    /// The connection ended, or was silent, before the answer was whole.
    Broken,
    /// Bytes that are no answer to this request.
    Spoiled,
    /// A whole answer that reports a failure of the upstream, after it ran the request.
    Failed,
    /// A whole answer.
    Whole,
};

/// What is known of a request when an attempt has ended.
struct AttemptFacts
{
    AttemptEnd end = AttemptEnd::Broken;
    RequestKind kind = RequestKind::NonIdempotent;
    bool resumable = false;
    /// Part of the answer has reached the client.
    bool answerStarted = false;
    /// An earlier attempt may have run.
    bool mayHaveRun = false;
    /// Upstreams that may have run it, this one included.
    int upstreamsRun = 0;
    int maxAttempts = 1;
    /// Sends so far, refused ones included.
    int sends = 1;
    /// Time is left for another attempt.
    bool timeLeft = false;
};

enum class NextStep : std::uint8_t {
    /// Hand the answer on as it is.
    Deliver,
    /// Send it to another upstream, within the retry budget.
    Retry,
    /// Answer with `refusal`.
    Refuse,
    /// End the connection, so that the part that was sent cannot pass for whole.
    Cut,
};

struct AttemptVerdict
{
    NextStep step = NextStep::Refuse;
    /// For `Refuse`, and for `Retry` without budget; its answer says "not run" only if that is
    /// proved. For an answer that reports a failure, `Retry` without budget delivers it.
    ErrorKind refusal = ErrorKind::Internal;
};

/// The table from the end of an attempt to the next step. At most once: only a connection that
/// was not made and the upstream's own word prove that a request did not run.
AttemptVerdict judgeAttempt(const AttemptFacts &facts);

} // namespace tamarack
