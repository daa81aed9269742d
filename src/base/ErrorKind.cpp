#include "tamarackseam/ErrorKind.h"

#include <array>

namespace tamarack {

namespace {

using enum ErrorKind;
using enum Outcome;

constexpr std::array answers{
    ErrorAnswer{BadRequest, "bad_request", 400, NotRun, 0, 2},
    ErrorAnswer{Unauthorized, "unauthorized", 401, NotRun, 0, 3},
    ErrorAnswer{Forbidden, "forbidden", 403, NotRun, 0, 3},
    ErrorAnswer{NotFound, "not_found", 404, NotRun, 0, 4},
    ErrorAnswer{PayloadTooLarge, "payload_too_large", 413, NotRun, 0, 2},
    ErrorAnswer{HeadersTooLarge, "headers_too_large", 431, NotRun, 0, 2},
    ErrorAnswer{RequestTimeout, "request_timeout", 408, NotRun, 0, 9},
    ErrorAnswer{KeyConflict, "key_conflict", 422, NotRun, 0, 5},
    ErrorAnswer{KeyInProgress, "key_in_progress", 409, MayHaveRun, 1, 5},
    ErrorAnswer{VersionConflict, "version_conflict", 412, NotRun, 0, 5},
    ErrorAnswer{InvalidConfig, "invalid_config", 400, NotRun, 0, 2},
    ErrorAnswer{Overloaded, "overloaded", 429, NotRun, 2, 6},
    ErrorAnswer{QuotaExceeded, "quota_exceeded", 429, NotRun, 1, 6},
    ErrorAnswer{DeadlineUnmet, "deadline_unmet", 503, NotRun, 2, 6},
    ErrorAnswer{NoUpstream, "no_upstream", 503, NotRun, 2, 6},
    ErrorAnswer{StoreUnavailable, "store_unavailable", 503, NotRun, 2, 7},
    ErrorAnswer{HistoryGone, "history_gone", 410, NotRun, 0, 7},
    ErrorAnswer{ConfigUnproved, "config_unproved", 503, NotRun, 1, 7},
    ErrorAnswer{Quarantined, "quarantined", 403, NotRun, 0, 5},
    ErrorAnswer{SuspectHeld, "suspect_held", 503, NotRun, 5, 6},
    ErrorAnswer{StreamUnknown, "stream_unknown", 503, NotRun, 1, 6},
    ErrorAnswer{VersionGone, "version_gone", 503, NotRun, 0, 6},
    ErrorAnswer{Draining, "draining", 503, NotRun, 1, 6},
    ErrorAnswer{CreditExpired, "credit_expired", 503, NotRun, 1, 6},
    ErrorAnswer{StaleIncarnation, "stale_incarnation", 503, NotRun, 1, 6},
    ErrorAnswer{UpstreamRefused, "upstream_refused", 503, NotRun, 2, 6},
    ErrorAnswer{UpstreamFailed, "upstream_failed", 502, MayHaveRun, 0, 8},
    ErrorAnswer{UpstreamLost, "upstream_lost", 502, MayHaveRun, 0, 8},
    ErrorAnswer{DeadlineExceeded, "deadline_exceeded", 504, MayHaveRun, 0, 8},
    ErrorAnswer{AnswerGone, "answer_gone", 410, Ran, 0, 5},
    ErrorAnswer{OutcomeUnknown, "outcome_unknown", 409, MayHaveRun, 0, 8},
    ErrorAnswer{CallerGone, "caller_gone", 499, MayHaveRun, 0, 8},
    ErrorAnswer{PeerRejected, "peer_rejected", 403, NotRun, 0, 3},
    ErrorAnswer{Timeout, "timeout", 504, MayHaveRun, 1, 9},
    ErrorAnswer{IoFailed, "io_failed", 502, MayHaveRun, 1, 9},
    ErrorAnswer{Internal, "internal", 500, MayHaveRun, 0, 1},
};

static_assert(answers.size() == static_cast<std::size_t>(Internal) + 1);

} // namespace

std::span<const ErrorAnswer> errorAnswers()
{
    return answers;
}

const ErrorAnswer &errorAnswer(ErrorKind kind)
{
    return answers.at(static_cast<std::size_t>(kind));
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case NotRun:
        return "not-run";
    case MayHaveRun:
        return "may-have-run";
    case Ran:
        return "ran";
    }
    return "may-have-run";
}

} // namespace tamarack
