#include "serving/DispatchQueue.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

UpstreamRecord upstream(const std::string &id, int slots = 2)
{
    UpstreamRecord record;
    record.id = id;
    record.service = "models";
    record.dataCentre = "dc";
    record.slots = slots;
    return record;
}

struct Fixture
{
    QueuedRequest request(Ticket ticket, QueueRank rank = 0, std::uint32_t tokens = 100)
    {
        QueuedRequest queued;
        queued.ticket = ticket;
        queued.service = "models";
        queued.rank = rank;
        queued.promptTokens = tokens;
        queued.arrived = now;
        queued.objectiveAt = now + milliseconds(500);
        queued.refuseAt = now + milliseconds(250);
        queued.deadlineAt = now + milliseconds(5000);
        return queued;
    }

    UpstreamState &find(const std::string &id)
    {
        return **std::ranges::find(upstreams.ofService("models"), id,
                                   [](const UpstreamPtr &each) { return each->record.id; });
    }

    Fixture() { upstreams.setEngines({"models"}); }

    UpstreamTable upstreams;
    DispatchQueue queue{upstreams, "dc"};
    TimePoint now{std::chrono::seconds(100)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DispatchQueueSuite, Fixture)

BOOST_AUTO_TEST_CASE(loadsOfAllEntriesCountAgainstTheSlots)
{
    upstreams.assign({upstream("a")});
    upstreams.setOthers({{upstreamKey(upstream("a")), {1, 0}}});
    queue.push(request(1));
    queue.push(request(2));
    const auto decisions = queue.decide(now);
    BOOST_REQUIRE(decisions.assignments.size() == 1U);
    BOOST_TEST(decisions.assignments[0].ticket == 1U);
    BOOST_TEST(queue.size() == 1U);
}

// Regression (fleetbench organy-hq-grown, inc-65ab): 140 responses of 100 or more events were sent
// to engines that need 100 ms per event. Each occupied a slot until it failed at its 15 s deadline.
BOOST_AUTO_TEST_CASE(longResponseWaitsForAnEngineThatMeetsItsDeadline)
{
    upstreams.assign({upstream("fast", 1), upstream("slow", 1)});
    find("fast").factor = 0.7;
    find("slow").factor = 4;
    for (int i = 0; i < 200; ++i)
        upstreams.recordEvents(find("fast"), 100, milliseconds(1400));
    find("fast").own.inFlight = 1;
    QueuedRequest answer = request(1);
    answer.responseEvents = 300;
    answer.deadlineAt = now + std::chrono::seconds(15);
    queue.push(answer);
    BOOST_TEST(queue.decide(now).assignments.empty());
    QueuedRequest brief = answer;
    brief.ticket = 2;
    brief.responseEvents = 50;
    queue.push(brief);
    auto started = queue.decide(now).assignments;
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].ticket == 2U);
    BOOST_TEST(started[0].upstream->record.id == "slow");
    find("fast").own.inFlight = 0;
    started = queue.decide(now).assignments;
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].upstream->record.id == "fast");
}

// Regression (fleetbench organy-hq, scale-1): prompts of thousands of tokens were sent to engines
// that take over 90 ms per chunk of a prompt; all streams running there paused for longer than
// their objective.
BOOST_AUTO_TEST_CASE(longPromptWaitsForAnEngineThatKeepsThePaceOfItsStreams)
{
    upstreams.assign({upstream("fast", 1), upstream("slow", 4)});
    UpstreamState &fast = find("fast");
    UpstreamState &slow = find("slow");
    fast.factor = 0.6;
    slow.factor = 3;
    fast.own.inFlight = 1;
    slow.own.inFlight = 1;
    QueuedRequest longPrompt = request(1, 0, 6000);
    longPrompt.pauseObjective = milliseconds(300);
    QueuedRequest shortPrompt = request(2, 0, 500);
    shortPrompt.pauseObjective = milliseconds(300);
    queue.push(longPrompt);
    queue.push(shortPrompt);
    auto started = queue.decide(now).assignments;
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].ticket == 2U);
    BOOST_TEST(started[0].upstream->record.id == "slow");
    fast.own.inFlight = 0;
    started = queue.decide(now).assignments;
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].upstream->record.id == "fast");
}

BOOST_AUTO_TEST_CASE(longPromptStartsOnASlowEngineThatRunsNoStreams)
{
    upstreams.assign({upstream("fast", 1), upstream("slow", 4)});
    find("fast").factor = 0.6;
    find("fast").own.inFlight = 1;
    find("slow").factor = 3;
    QueuedRequest longPrompt = request(1, 0, 6000);
    longPrompt.pauseObjective = milliseconds(300);
    queue.push(longPrompt);
    BOOST_TEST(queue.decide(now).assignments.size() == 1U);
}

// Otherwise a higher tier would be refused while lower ones start on the slow engine.
BOOST_AUTO_TEST_CASE(longPromptStartsOnAnyEngineRatherThanBeRefused)
{
    upstreams.assign({upstream("fast", 1), upstream("slow", 4)});
    find("fast").factor = 0.6;
    find("fast").own.inFlight = 1;
    find("slow").factor = 3;
    find("slow").own.inFlight = 1;
    QueuedRequest longPrompt = request(1, 0, 6000);
    longPrompt.pauseObjective = milliseconds(300);
    queue.push(longPrompt);
    BOOST_TEST(queue.decide(now).assignments.empty());
    const auto decisions = queue.decide(longPrompt.refuseAt);
    BOOST_TEST(decisions.refusals.empty());
    BOOST_REQUIRE(decisions.assignments.size() == 1U);
    BOOST_TEST(decisions.assignments[0].upstream->record.id == "slow");
}

BOOST_AUTO_TEST_CASE(retriedLongPromptDoesNotWaitForAnEngineThatItHasTried)
{
    upstreams.assign({upstream("fast", 4), upstream("slow", 4)});
    find("fast").factor = 0.6;
    find("slow").factor = 3;
    find("slow").own.inFlight = 1;
    QueuedRequest longPrompt = request(1, 0, 6000);
    longPrompt.pauseObjective = milliseconds(300);
    longPrompt.excluded = {find("fast").key};
    queue.push(longPrompt);
    BOOST_TEST(queue.decide(now).assignments.size() == 1U);
}

// A prompt that would delay the streams of every engine goes to one of the fastest.
BOOST_AUTO_TEST_CASE(promptThatNoEngineCanProcessWithoutDelayStartsOnAFastOne)
{
    upstreams.assign({upstream("fast", 4), upstream("slow", 4)});
    find("fast").factor = 0.6;
    find("fast").own.inFlight = 3;
    find("slow").factor = 3;
    find("slow").own.inFlight = 1;
    QueuedRequest longPrompt = request(1, 0, 50'000);
    longPrompt.pauseObjective = milliseconds(300);
    queue.push(longPrompt);
    const auto started = queue.decide(now).assignments;
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].upstream->record.id == "fast");
}

// Regression (fleetbench organy-hq, scale-1, 16.5 to 20 s): returning clients whose responses were
// late already took the slots of first attempts that waited at other entries.
BOOST_AUTO_TEST_CASE(lateRequestLeavesSlotsToRequestsOfItsRankAtOtherEntries)
{
    upstreams.assign({upstream("a", 2)});
    queue.setPeerDemand({{"models", 1, 2, 0}});
    QueuedRequest late = request(1, 1);
    late.objectiveAt = now - milliseconds(1);
    queue.push(late);
    BOOST_TEST(queue.decide(now).assignments.empty());
    queue.push(request(2, 1));
    const auto started = queue.decide(now).assignments;
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].ticket == 2U);
}

// Two entries with late requests of one tier must not wait for each other.
BOOST_AUTO_TEST_CASE(lateRequestsAtOtherEntriesDoNotHoldUpTheirOwnTier)
{
    upstreams.assign({upstream("a", 2)});
    QueuedRequest late = request(1, queueRank(1, 1));
    late.objectiveAt = now - milliseconds(1);
    queue.push(late);
    queue.setPeerDemand(
        {{"models", queueRank(1, 0), 2, 0, 2}, {"models", queueRank(1, 1), 2, 0, 2}});
    BOOST_TEST(queue.decide(now).assignments.size() == 1U);
}

BOOST_AUTO_TEST_CASE(lateRequestsOfAHigherTierAtOtherEntriesHoldUpLowerTiers)
{
    upstreams.assign({upstream("a", 2)});
    queue.push(request(1, queueRank(2, 0)));
    queue.setPeerDemand({{"models", queueRank(1, 1), 2, 0, 2}});
    BOOST_TEST(queue.decide(now).assignments.empty());
}

BOOST_AUTO_TEST_CASE(demandStatesHowManyOfTheWaitingAreLate)
{
    QueuedRequest late = request(1);
    late.objectiveAt = now - milliseconds(1);
    queue.push(late);
    queue.push(request(2));
    const auto demand = queue.demand(now);
    BOOST_REQUIRE(demand.size() == 1U);
    BOOST_TEST(demand[0].waiting == 2U);
    BOOST_TEST(demand[0].late == 1U);
}

BOOST_AUTO_TEST_CASE(withinARankRequestsOfLessEngineTimeStartFirst)
{
    upstreams.assign({upstream("a", 1)});
    QueuedRequest longAnswer = request(1);
    longAnswer.responseEvents = 100;
    QueuedRequest shortAnswer = request(2);
    shortAnswer.responseEvents = 10;
    shortAnswer.arrived = now + milliseconds(1);
    queue.push(longAnswer);
    queue.push(shortAnswer);
    const auto started = queue.decide(now).assignments;
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].ticket == 2U);
}

// If no engine is fast enough, the request starts anyway: the response may turn out shorter than
// expected.
BOOST_AUTO_TEST_CASE(responseThatNoEngineCanCompleteInTimeStillStarts)
{
    upstreams.assign({upstream("a", 1)});
    QueuedRequest answer = request(1);
    answer.responseEvents = 100'000;
    queue.push(answer);
    BOOST_TEST(queue.decide(now).assignments.size() == 1U);
}

BOOST_AUTO_TEST_CASE(higherRankStartsFirstRegardlessOfArrival)
{
    upstreams.assign({upstream("a", 1)});
    queue.push(request(1, queueRank(1, 2)));
    queue.push(request(2, queueRank(1, 0)));
    const auto decisions = queue.decide(now);
    BOOST_REQUIRE(decisions.assignments.size() == 1U);
    BOOST_TEST(decisions.assignments[0].ticket == 2U);
}

BOOST_AUTO_TEST_CASE(lowerRankReservesSlotsForHigherRanksAtOtherEntries)
{
    upstreams.assign({upstream("a", 2)});
    queue.setPeerDemand({{"models", 0, 2, 0}});
    queue.push(request(1, 1));
    BOOST_TEST(queue.decide(now).assignments.empty());
    queue.setPeerDemand({{"models", 0, 1, 0}});
    BOOST_TEST(queue.decide(now).assignments.size() == 1U);
}

// Regression (fleetbench grown Budapest): the least urgent kind of the lower workspace tier was
// hardly served.
BOOST_AUTO_TEST_CASE(kindBelowItsGuaranteedShareIsPromotedOverTheDonor)
{
    upstreams.assign({upstream("a", 40)});
    for (Ticket ticket = 1; ticket <= 20; ++ticket)
        queue.push(request(ticket, queueRank(1, 1)));
    BOOST_TEST(queue.decide(now).assignments.size() == 20U);
    upstreams.assign({upstream("a", 21)});
    queue.push(request(21, queueRank(1, 1)));
    queue.push(request(22, queueRank(1, 2)));
    const auto decisions = queue.decide(now);
    BOOST_REQUIRE(decisions.assignments.size() == 1U);
    BOOST_TEST(decisions.assignments[0].ticket == 22U);
}

BOOST_AUTO_TEST_CASE(kindBelowItsGuaranteedShareIsNotPromotedOverAHigherTier)
{
    upstreams.assign({upstream("a", 20)});
    for (Ticket ticket = 1; ticket <= 20; ++ticket)
        queue.push(request(ticket, queueRank(1, 1)));
    queue.decide(now);
    upstreams.assign({upstream("a", 21)});
    queue.push(request(21, queueRank(1, 2)));
    queue.push(request(22, queueRank(0, 3)));
    const auto decisions = queue.decide(now);
    BOOST_REQUIRE(decisions.assignments.size() == 1U);
    BOOST_TEST(decisions.assignments[0].ticket == 22U);
}

// Regression (fleetbench grown scale-1): long requests of the lowest tier occupied the slots when a
// burst of higher tiers arrived.
BOOST_AUTO_TEST_CASE(lowerRankReservesSlotsForBurstsOfHigherRanks)
{
    upstreams.assign({upstream("a", 20), upstream("b", 20)});
    upstreams.setOthers(
        {{upstreamKey(upstream("a")), {20, 0}}, {upstreamKey(upstream("b")), {18, 0}}});
    queue.setPeerDemand({{"models", 0, 0, 20}});
    queue.push(request(1, 1));
    BOOST_TEST(queue.decide(now).assignments.empty());
    queue.push(request(2, 0));
    BOOST_TEST(queue.decide(now).assignments.size() == 1U);
    queue.setPeerDemand({{"models", 0, 0, 0}});
    queue.ended("models", 0);
    BOOST_TEST(queue.decide(now).assignments.size() == 1U);
}

BOOST_AUTO_TEST_CASE(requestPastItsMaximumWaitIsRefusedWithRetryAfter)
{
    queue.push(request(1));
    BOOST_TEST(queue.decide(now).refusals.empty());
    BOOST_TEST((queue.nextRefusal() == now + milliseconds(250)));
    const auto decisions = queue.decide(now + milliseconds(250));
    BOOST_REQUIRE(decisions.refusals.size() == 1U);
    BOOST_TEST((decisions.refusals[0].retryAfter > Duration::zero()));
    BOOST_TEST(queue.size() == 0U);
}

// Regression (fleetbench grown scale-1, seconds 4 to 6): served in arrival order, every request of
// the top tier missed its objective.
BOOST_AUTO_TEST_CASE(withinARankRequestsThatCanMeetTheirObjectiveStartFirst)
{
    upstreams.assign({upstream("a", 1)});
    QueuedRequest late = request(1);
    late.objectiveAt = now - milliseconds(1);
    QueuedRequest onTime = request(2);
    onTime.arrived = now + milliseconds(1);
    queue.push(late);
    queue.push(onTime);
    const auto decisions = queue.decide(now);
    BOOST_REQUIRE(decisions.assignments.size() == 1U);
    BOOST_TEST(decisions.assignments[0].ticket == 2U);
}

// Regression (fleetbench grown scale-1): half of the bookings were refused while the replicas had
// free capacity.
BOOST_AUTO_TEST_CASE(plainUpstreamMayQueueRequestsItself)
{
    upstreams.setEngines({});
    upstreams.assign({upstream("a", 2)});
    for (Ticket ticket = 1; ticket <= 4; ++ticket)
        queue.push(request(ticket));
    BOOST_TEST(queue.decide(now).assignments.size() == 4U);
}

// Regression (fleetbench grown scale-1): 21,440 requests of one kind were queued for 0.64 s each
// and then refused.
BOOST_AUTO_TEST_CASE(requestThatCannotStartInTimeIsRefusedAtOnce)
{
    upstreams.assign({upstream("a", 1)});
    upstreams.setOthers({{upstreamKey(upstream("a", 1)), {1, 0}}});
    for (Ticket ticket = 1; ticket <= 10; ++ticket)
        queue.push(request(ticket));
    const auto decisions = queue.decide(now);
    BOOST_TEST(decisions.assignments.empty());
    BOOST_TEST(decisions.refusals.size() == 8U);
    BOOST_TEST(decisions.refusals.front().ticket == 3U);
    for (const QueueRefusal &refusal : decisions.refusals)
        BOOST_TEST((refusal.retryAfter <= milliseconds(5000) / 3));
}

BOOST_AUTO_TEST_CASE(queueLengthIsBoundedByTheStartRate)
{
    upstreams.assign({upstream("a", 100)});
    for (Ticket ticket = 1; ticket <= 100; ++ticket) {
        queue.push(request(ticket));
        queue.decide(now + milliseconds(10) * static_cast<int>(ticket));
    }
    now += milliseconds(1000);
    for (Ticket ticket = 101; ticket <= 160; ++ticket)
        queue.push(request(ticket));
    queue.decide(now);
    BOOST_TEST(queue.size() > 10U);
    BOOST_TEST(queue.size() < 30U);
}

BOOST_AUTO_TEST_CASE(excludedUpstreamIsNotChosen)
{
    upstreams.assign({upstream("a"), upstream("b")});
    QueuedRequest again = request(1);
    again.excluded = {upstreamKey(upstream("a"))};
    queue.push(again);
    const auto decisions = queue.decide(now);
    BOOST_REQUIRE(decisions.assignments.size() == 1U);
    BOOST_TEST(decisions.assignments[0].upstream->record.id == "b");
}

BOOST_AUTO_TEST_CASE(leavingAndBlockedUpstreamsReceiveNoRequests)
{
    UpstreamRecord leaving = upstream("a");
    leaving.draining = true;
    upstreams.assign({leaving, upstream("b")});
    UpstreamState &other = *upstreams.ofService("models")[0];
    upstreams.recordHealth(other, HealthSignal::Unreachable, now);
    queue.push(request(1));
    BOOST_TEST(queue.decide(now).assignments.empty());
    BOOST_TEST(queue.decide(now + milliseconds(200)).assignments.size() == 1U);
}

BOOST_AUTO_TEST_CASE(longPromptIsSentToTheFastEngine)
{
    upstreams.assign({upstream("slow", 10), upstream("fast", 10)});
    for (const UpstreamPtr &each : upstreams.ofService("models"))
        each->factor = each->record.id == "fast" ? 0.6 : 1.7;
    queue.push(request(1, 0, 30000));
    const auto decisions = queue.decide(now);
    BOOST_REQUIRE(decisions.assignments.size() == 1U);
    BOOST_TEST(decisions.assignments[0].upstream->record.id == "fast");
}

// Regression (fleetbench grown scale-1): long responses on slow engines failed at their deadlines.
BOOST_AUTO_TEST_CASE(longResponseIsSentWhereItMeetsItsDeadline)
{
    upstreams.assign({upstream("slow", 10), upstream("fast", 10)});
    for (const UpstreamPtr &each : upstreams.ofService("models"))
        each->factor = each->record.id == "fast" ? 0.6 : 1.7;
    upstreams.setOthers({{upstreamKey(upstream("fast", 10)), {9, 0}}});
    QueuedRequest shortAnswer = request(1);
    shortAnswer.responseEvents = 5;
    shortAnswer.deadlineAt = now + std::chrono::seconds(5);
    QueuedRequest longAnswer = request(2);
    longAnswer.responseEvents = 130;
    longAnswer.deadlineAt = now + std::chrono::seconds(5);
    queue.push(shortAnswer);
    queue.push(longAnswer);
    const auto decisions = queue.decide(now);
    BOOST_REQUIRE(decisions.assignments.size() == 2U);
    BOOST_TEST(decisions.assignments[0].upstream->record.id == "slow");
    BOOST_TEST(decisions.assignments[1].upstream->record.id == "fast");
}

BOOST_AUTO_TEST_CASE(promptIsSentToTheEngineThatCachesIt)
{
    upstreams.assign({upstream("a", 10), upstream("b", 10), upstream("c", 10)});
    QueuedRequest first = request(1, 0, 3000);
    first.prefix = 77;
    queue.push(first);
    const std::string where = queue.decide(now).assignments.at(0).upstream->record.id;
    for (Ticket ticket = 2; ticket < 6; ++ticket) {
        QueuedRequest next = request(ticket, 0, 3000);
        next.prefix = 77;
        queue.push(next);
        BOOST_TEST(queue.decide(now).assignments.at(0).upstream->record.id == where);
    }
}

// All upstreams are closed for a while: requests that may wait that long remain queued, the others
// are refused with a `Retry-After` that is not before the reopening.
BOOST_AUTO_TEST_CASE(closedServiceRefusesWithTheTimeUntilItReopens)
{
    upstreams.assign({upstream("a")});
    UpstreamStatement closed;
    closed.closedFor = milliseconds(2000);
    upstreams.ofService("models").front()->terms.handleStatement(closed, now, now);
    QueuedRequest longWait = request(1, 0);
    longWait.refuseAt = now + milliseconds(2500);
    QueuedRequest shortWait = request(2, 0);
    shortWait.refuseAt = now + milliseconds(1000);
    queue.push(longWait);
    queue.push(shortWait);
    const QueueDecisions decisions = queue.decide(now);
    BOOST_TEST(decisions.assignments.empty());
    BOOST_REQUIRE(decisions.refusals.size() == 1U);
    BOOST_TEST(decisions.refusals[0].ticket == 2U);
    BOOST_TEST((decisions.refusals[0].retryAfter >= milliseconds(2000)));
    BOOST_TEST(queue.size() == 1U);
    BOOST_TEST(queue.decide(now + milliseconds(2000)).assignments.size() == 1U);
}

// The time at which upstreams reopen is known, so that their service makes no appointments.
BOOST_AUTO_TEST_CASE(closedServiceMakesNoAppointments)
{
    DispatchQueue appointing{upstreams, "dc", {true, false, true}};
    upstreams.assign({upstream("a")});
    UpstreamStatement closed;
    closed.closedFor = milliseconds(500);
    upstreams.ofService("models").front()->terms.handleStatement(closed, now, now);
    appointing.push(request(1));
    const QueueDecisions decisions = appointing.decide(now);
    BOOST_REQUIRE(decisions.refusals.size() == 1U);
    BOOST_TEST((decisions.refusals[0].retryAfter >= milliseconds(500)));
    BOOST_TEST((decisions.refusals[0].retryAfter <= milliseconds(2200)));
    BOOST_TEST(appointing.returnSlots(now).empty());
}

// Entries of earlier versions and deployments without a view of the fleet get the reports as
// before.
BOOST_AUTO_TEST_CASE(ratesAreReportedOnlyWithAViewOfTheFleet)
{
    DispatchQueue viewing{upstreams, "dc", {true, false, false}};
    upstreams.assign({upstream("a", 1)});
    for (const Ticket ticket : {1, 2}) {
        QueuedRequest next = request(ticket);
        next.queuedAt = now;
        queue.push(next);
        viewing.push(next);
    }
    queue.decide(now);
    viewing.decide(now);
    const auto plain = queue.demand(now);
    const auto rated = viewing.demand(now);
    BOOST_REQUIRE(plain.size() == 1U);
    BOOST_REQUIRE(rated.size() == 1U);
    BOOST_TEST(plain[0].arrivalsPerSecond == 0);
    BOOST_TEST(plain[0].startsPerSecond == 0);
    BOOST_TEST(rated[0].arrivalsPerSecond > 0);
    // Rates alone are no reason for a message.
    BOOST_TEST(sameNumbers(rated, viewing.demand(now + milliseconds(100))));
    BOOST_TEST((rated != viewing.demand(now + milliseconds(100))));
}

BOOST_AUTO_TEST_SUITE_END()
