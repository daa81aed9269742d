#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace tamarack {

/// What a caller may conclude about its request from an error answer.
enum class Outcome : std::uint8_t { NotRun, MayHaveRun, Ran };

/// The closed list of error kinds. Every refusal, retry and failure uses one of them.
enum class ErrorKind : std::uint8_t {
    BadRequest,
    Unauthorized,
    Forbidden,
    NotFound,
    PayloadTooLarge,
    HeadersTooLarge,
    RequestTimeout,
    KeyConflict,
    KeyInProgress,
    VersionConflict,
    InvalidConfig,
    Overloaded,
    QuotaExceeded,
    DeadlineUnmet,
    NoUpstream,
    StoreUnavailable,
    HistoryGone,
    ConfigUnproved,
    Quarantined,
    SuspectHeld,
    StreamUnknown,
    VersionGone,
    Draining,
    CreditExpired,
    StaleIncarnation,
    UpstreamRefused,
    UpstreamFailed,
    UpstreamLost,
    DeadlineExceeded,
    AnswerGone,
    OutcomeUnknown,
    CallerGone,
    PeerRejected,
    Timeout,
    IoFailed,
    Internal,
};

/// How one error kind is answered.
struct ErrorAnswer
{
    ErrorKind kind;
    /// Stable machine-readable name, used in answers, logs and metrics.
    std::string_view name;
    /// HTTP status for callers and operators.
    int httpStatus;
    Outcome outcome;
    /// Suggested wait before a retry in seconds; 0 when a retry is not useful.
    int retryAfterSeconds;
    /// Exit code of the command-line tool.
    int exitCode;
};

/// The table from kind to answer, in enum order.
std::span<const ErrorAnswer> errorAnswers();

/// The row of `kind`.
const ErrorAnswer &errorAnswer(ErrorKind kind);

/// The value of the `Tamarack-Outcome` header.
std::string_view outcomeName(Outcome outcome);

} // namespace tamarack
