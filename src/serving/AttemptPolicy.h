#pragma once

#include "serving/ServingConfig.h"
#include "tamarackseam/ErrorKind.h"

#include <cstdint>
#include <string_view>

namespace tamarack {

/// How an attempt at an upstream ended.
enum class AttemptEnd : std::uint8_t {
    /// The connection could not be made, so no byte was sent.
    NotSent,
    /// The upstream states that it did not run the request.
    NotExecuted,
    /// The connection closed or timed out before the response was complete.
    Broken,
    /// The received bytes are not a valid response to this request.
    Spoiled,
    /// A complete response in which the upstream reports that it ran the request and failed.
    Failed,
    /// A complete response.
    Whole,
};

/// Its name in log lines and metrics.
std::string_view endName(AttemptEnd end);

/// State of a request when one of its attempts has ended.
struct AttemptFacts
{
    AttemptEnd end = AttemptEnd::Broken;
    RequestKind kind = RequestKind::NonIdempotent;
    bool resumable = false;
    /// Part of the response has been sent to the client.
    bool responseStarted = false;
    /// An upstream may have run the request in an earlier attempt.
    bool mayHaveRun = false;
    /// Number of upstreams that may have run the request, including the one of this attempt.
    int upstreamsRun = 0;
    int maxAttempts = 1;
    /// Number of sends so far, including sends that the upstream refused.
    int sends = 1;
    /// There is time for another attempt before the deadline.
    bool timeLeft = false;
};

enum class NextStep : std::uint8_t {
    /// Forward the response unchanged.
    Deliver,
    /// Send the request to another upstream if the retry budget allows it.
    Retry,
    /// Respond with the error `refusal`.
    Refuse,
    /// Close the connection, so that the client cannot take the partial response for a complete
    /// one.
    Cut,
};

struct AttemptDecision
{
    NextStep step = NextStep::Refuse;
    /// Error for `Refuse`, and for `Retry` if the budget is exhausted. Its response states
    /// "not-run" only if that is proved. If the attempt ended as `Failed` and the budget is
    /// exhausted, the upstream's response is delivered instead.
    ErrorKind refusal = ErrorKind::Internal;
};

/// Decides the next step from the way in which an attempt ended. Ensures at-most-once execution of
/// requests that may not be repeated: the only proofs that a request did not run are a connection
/// that could not be made and the upstream's statement.
AttemptDecision decideNextStep(const AttemptFacts &facts);

} // namespace tamarack
