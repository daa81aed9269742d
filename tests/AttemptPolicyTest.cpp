#include "serving/AttemptPolicy.h"

#include <array>

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

constexpr std::array ends{AttemptEnd::NotSent, AttemptEnd::NotExecuted, AttemptEnd::Broken,
                          AttemptEnd::Spoiled, AttemptEnd::Failed,      AttemptEnd::Whole};
constexpr std::array kinds{RequestKind::Idempotent, RequestKind::NonIdempotent,
                           RequestKind::Stream};

bool provesNotRun(AttemptEnd end)
{
    return end == AttemptEnd::NotSent || end == AttemptEnd::NotExecuted;
}

/// Calls `check` with every combination of facts.
template <typename Check>
void forAllFacts(Check check)
{
    for (const AttemptEnd end : ends)
        for (const RequestKind kind : kinds)
            for (const bool resumable : {false, true})
                for (const bool started : {false, true})
                    for (const bool earlier : {false, true})
                        for (const bool timeLeft : {false, true})
                            for (const int run : {0, 1, 2}) {
                                AttemptFacts facts;
                                facts.end = end;
                                facts.kind = kind;
                                facts.resumable = resumable;
                                facts.responseStarted = started;
                                facts.mayHaveRun = earlier || !provesNotRun(end);
                                facts.upstreamsRun = run;
                                facts.maxAttempts = 2;
                                facts.timeLeft = timeLeft;
                                check(facts);
                            }
}

} // namespace

BOOST_AUTO_TEST_SUITE(AttemptPolicySuite)

BOOST_AUTO_TEST_CASE(requestsThatMayHaveRunAreRetriedOnlyIfRepeatable)
{
    forAllFacts([](const AttemptFacts &facts) {
        const bool repeatable = facts.kind == RequestKind::Idempotent
                                || (facts.kind == RequestKind::Stream && facts.resumable);
        const AttemptDecision verdict = decideNextStep(facts);
        if (!provesNotRun(facts.end) && !repeatable)
            BOOST_TEST((verdict.step != NextStep::Retry));
    });
}

BOOST_AUTO_TEST_CASE(notRunIsReportedOnlyIfProved)
{
    forAllFacts([](const AttemptFacts &facts) {
        const AttemptDecision verdict = decideNextStep(facts);
        if (facts.mayHaveRun)
            BOOST_TEST((errorAnswer(verdict.refusal).outcome != Outcome::NotRun));
    });
}

BOOST_AUTO_TEST_CASE(startedResponsesAreNeverReplaced)
{
    forAllFacts([](const AttemptFacts &facts) {
        const AttemptDecision verdict = decideNextStep(facts);
        if (facts.responseStarted)
            BOOST_TEST((verdict.step != NextStep::Refuse));
        if (facts.responseStarted && facts.end != AttemptEnd::Whole)
            BOOST_TEST((verdict.step != NextStep::Deliver));
    });
}

BOOST_AUTO_TEST_CASE(retriesRespectMaxAttemptsAndDeadline)
{
    forAllFacts([](const AttemptFacts &facts) {
        if (facts.upstreamsRun >= facts.maxAttempts || !facts.timeLeft)
            BOOST_TEST((decideNextStep(facts).step != NextStep::Retry));
    });
}

BOOST_AUTO_TEST_CASE(nonIdempotentRequestsAreRetriedOnlyIfNotSent)
{
    AttemptFacts facts;
    facts.end = AttemptEnd::NotSent;
    facts.timeLeft = true;
    BOOST_TEST((decideNextStep(facts).step == NextStep::Retry));
    facts.end = AttemptEnd::Broken;
    facts.mayHaveRun = true;
    facts.upstreamsRun = 1;
    BOOST_TEST((decideNextStep(facts).step == NextStep::Refuse));
    BOOST_TEST((decideNextStep(facts).refusal == ErrorKind::UpstreamLost));
}

BOOST_AUTO_TEST_SUITE_END()
