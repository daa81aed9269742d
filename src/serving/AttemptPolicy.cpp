#include "serving/AttemptPolicy.h"

namespace tamarack {

namespace {

/// Maximum number of times that one request is sent, including sends that the upstream refused.
constexpr int maxSends = 3;

bool provesNotRun(AttemptEnd end)
{
    return end == AttemptEnd::NotSent || end == AttemptEnd::NotExecuted;
}

bool repeatable(const AttemptFacts &facts)
{
    if (facts.kind == RequestKind::Stream)
        return facts.resumable;
    return facts.kind == RequestKind::Idempotent && !facts.responseStarted;
}

bool mayRepeat(const AttemptFacts &facts)
{
    if (!facts.timeLeft || facts.sends >= maxSends)
        return false;
    const bool anotherMayRun = facts.upstreamsRun < facts.maxAttempts;
    if (provesNotRun(facts.end))
        return anotherMayRun && (!facts.responseStarted || facts.resumable);
    return anotherMayRun && repeatable(facts);
}

ErrorKind refusalOf(const AttemptFacts &facts)
{
    const bool ran = facts.mayHaveRun || !provesNotRun(facts.end);
    if (ran)
        return ErrorKind::UpstreamLost;
    return facts.end == AttemptEnd::NotSent ? ErrorKind::NoUpstream : ErrorKind::UpstreamRefused;
}

} // namespace

AttemptDecision decideNextStep(const AttemptFacts &facts)
{
    const ErrorKind refusal = refusalOf(facts);
    if (facts.end == AttemptEnd::Whole)
        return {NextStep::Deliver, refusal};
    if (mayRepeat(facts))
        return {NextStep::Retry, refusal};
    if (facts.responseStarted)
        return {NextStep::Cut, refusal};
    if (facts.end == AttemptEnd::Failed)
        return {NextStep::Deliver, refusal};
    return {NextStep::Refuse, refusal};
}

std::string_view endName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::NotExecuted:
        return "not_executed";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::Spoiled:
        return "spoiled";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::Whole:
        return "whole";
    }
    return "unknown";
}

} // namespace tamarack
