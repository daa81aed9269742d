#include "soak/FaultPlan.h"
#include "soak/Promises.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::soak;

namespace {

struct Fixture
{
    SentCall call(CallKind kind, const std::string &key = "steady")
    {
        SentCall sent;
        sent.id = "q" + std::to_string(++number);
        sent.kind = kind;
        sent.key = key;
        promises.sent(sent, now);
        return sent;
    }

    CallAnswer answer(int status, const std::string &body = "", const std::string &outcome = "")
    {
        return {status, true, false, body, outcome};
    }

    CallAnswer goodAnswer(const SentCall &sent)
    {
        return answer(200, "from up-0 body of " + sent.id);
    }

    std::size_t violations() const { return promises.violations().size(); }

    Disturbances disturbances;
    Promises promises{disturbances};
    TimePoint now = TimePoint{} + std::chrono::hours(1);
    int number = 0;
};

std::string event(int piece, const std::string &id)
{
    const std::string text = std::to_string(piece);
    return "id: " + text + "\ndata: piece-" + text + " of " + id + "\n\n";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(SoakPromisesSuite, Fixture)

BOOST_AUTO_TEST_CASE(whatIsPromisedIsNoFinding)
{
    const SentCall read = call(CallKind::Read);
    promises.ran(read.id, 0, now);
    promises.ran(read.id, 1, now);
    promises.answered(read.id, goodAnswer(read), now);
    const SentCall refused = call(CallKind::Book);
    promises.answered(refused.id, answer(429, "", "not-run"), now);
    const SentCall lost = call(CallKind::Book);
    promises.ran(lost.id, 0, now);
    promises.answered(lost.id, answer(502, "", "may-have-run"), now);
    BOOST_TEST(violations() == 0U);
    BOOST_TEST(promises.served() == 1U);
}

BOOST_AUTO_TEST_CASE(aBookingThatRunsTwiceIsFound)
{
    const SentCall book = call(CallKind::Book);
    promises.ran(book.id, 0, now);
    promises.ran(book.id, 1, now);
    BOOST_TEST(violations() == 1U);
}

BOOST_AUTO_TEST_CASE(aFalseWordOnTheRunIsFound)
{
    const SentCall before = call(CallKind::Read);
    promises.ran(before.id, 0, now);
    promises.answered(before.id, answer(503), now);
    BOOST_TEST(violations() == 1U);
    const SentCall after = call(CallKind::Read);
    promises.answered(after.id, answer(504, "", "not-run"), now);
    promises.ran(after.id, 0, now);
    BOOST_TEST(violations() == 2U);
}

BOOST_AUTO_TEST_CASE(theAnswerOfAnotherAndAStreamWithAGapAreFound)
{
    const SentCall read = call(CallKind::Read);
    promises.answered(read.id, answer(200, "from up-0 body of q77"), now);
    BOOST_TEST(violations() == 1U);
    const SentCall gap = call(CallKind::Stream);
    const std::string body = event(1, gap.id) + event(3, gap.id);
    promises.answered(gap.id, answer(200, body), now);
    BOOST_TEST(violations() == 2U);
    const SentCall shortened = call(CallKind::Stream);
    promises.answered(shortened.id, answer(200, event(1, shortened.id)), now);
    BOOST_TEST(violations() == 3U);
}

BOOST_AUTO_TEST_CASE(aCutIsExcusedByItsUpstreamOnly)
{
    const SentCall cut = call(CallKind::Stream);
    CallAnswer part = answer(200, event(1, cut.id));
    part.whole = false;
    promises.answered(cut.id, part, now);
    BOOST_TEST(violations() == 1U);
    disturbances.begin(Scope::Upstream, 0, now);
    const SentCall excused = call(CallKind::Stream);
    part.body = event(1, excused.id);
    promises.answered(excused.id, part, now);
    BOOST_TEST(violations() == 1U);
}

BOOST_AUTO_TEST_CASE(aLostCallIsExcusedByItsProcessOnly)
{
    const CallAnswer none;
    const SentCall lost = call(CallKind::Read);
    promises.answered(lost.id, none, now);
    BOOST_TEST(violations() == 1U);
    const auto handle = disturbances.begin(Scope::Process, 0, now);
    const SentCall killed = call(CallKind::Read);
    promises.answered(killed.id, none, now);
    disturbances.end(handle, now);
    BOOST_TEST(violations() == 1U);
}

BOOST_AUTO_TEST_CASE(aRevokedKeyThatRunsIsFound)
{
    promises.keyChanged("old", "new", now);
    now += std::chrono::milliseconds(4100);
    const SentCall late = call(CallKind::Read, "old");
    promises.ran(late.id, 0, now);
    BOOST_TEST(violations() == 1U);
}

BOOST_AUTO_TEST_CASE(aNewKeyMustWorkInTimeAndForGood)
{
    promises.keyChanged("old", "new", now);
    const SentCall early = call(CallKind::Read, "new");
    promises.answered(early.id, answer(401), now);
    BOOST_TEST(violations() == 0U);
    now += std::chrono::milliseconds(100);
    const SentCall taken = call(CallKind::Read, "new");
    promises.answered(taken.id, goodAnswer(taken), now);
    now += std::chrono::milliseconds(100);
    const SentCall reverted = call(CallKind::Read, "new");
    promises.answered(reverted.id, answer(401), now);
    BOOST_TEST(violations() == 1U);
    promises.keyChanged("new", "newest", now);
    now += std::chrono::milliseconds(3100);
    const SentCall late = call(CallKind::Read, "newest");
    promises.answered(late.id, answer(401), now);
    BOOST_TEST(violations() == 2U);
}

BOOST_AUTO_TEST_CASE(aRequestToALeavingUpstreamIsFound)
{
    promises.upstreamLeaves(1, now);
    now += std::chrono::milliseconds(3100);
    const SentCall late = call(CallKind::Read);
    promises.ran(late.id, 1, now);
    BOOST_TEST(violations() == 1U);
    promises.upstreamBack(1);
    const SentCall back = call(CallKind::Read);
    promises.ran(back.id, 1, now);
    BOOST_TEST(violations() == 1U);
}

BOOST_AUTO_TEST_CASE(theSameSeedDrawsTheSameFaults)
{
    const auto first = drawFaults(7, milliseconds(8000));
    const auto second = drawFaults(7, milliseconds(8000));
    BOOST_REQUIRE(first.size() == second.size());
    for (std::size_t i = 0; i < first.size(); ++i)
        BOOST_TEST(toString(first[i]) == toString(second[i]));
    BOOST_TEST(std::ranges::is_sorted(first, {}, &Fault::at));
}

BOOST_AUTO_TEST_CASE(anUpstreamThatGetsMoreThanItsLimitIsAFinding)
{
    StatementChecks checks(disturbances);
    checks.namesLimit(0, 2.0, now);
    checks.passedOn(0, 1, now - milliseconds(1), now);
    // 1.5 x 2 x 4 + 5 are allowed, by entries that have passed the limit on, from 3 s after it.
    const TimePoint later = now + std::chrono::seconds(5);
    for (int i = 0; i < 40; ++i)
        BOOST_TEST(!checks.arrived(0, 1, later, later));
    checks.passedOn(0, 2, now, now);
    int findings = 0;
    for (int i = 0; i < 18; ++i)
        findings += checks.arrived(0, 2, later, later) ? 1 : 0;
    BOOST_TEST(findings == 1);
    const auto paused = disturbances.begin(Scope::Process, 2, later);
    disturbances.end(paused, later);
    BOOST_TEST(!checks.arrived(0, 2, later, later));
}

BOOST_AUTO_TEST_CASE(anUpstreamThatSaidThatItLeavesAndGetsMoreIsAFinding)
{
    StatementChecks checks(disturbances);
    checks.saysThatItLeaves(0, now);
    checks.passedOn(0, 1, now, now);
    const TimePoint late = now + milliseconds(2001);
    BOOST_TEST(!checks.arrived(0, 1, now + milliseconds(1999), late));
    BOOST_TEST(!checks.arrived(0, 2, late, late));
    BOOST_TEST(checks.arrived(0, 1, late, late).has_value());
    checks.isReplaced(0);
    BOOST_TEST(!checks.arrived(0, 1, late, late));
}

BOOST_AUTO_TEST_CASE(anUpstreamThatWantsNothingAndGetsMoreIsAFinding)
{
    StatementChecks checks(disturbances);
    checks.turnedAway(0, 1, std::chrono::seconds(2), now);
    const auto arrives = [&](int ms, std::size_t entry = 1) {
        return checks.arrived(0, entry, now, now + milliseconds(ms)).has_value();
    };
    BOOST_TEST(!arrives(400));
    BOOST_TEST(!arrives(500));
    BOOST_TEST(!arrives(600));
    BOOST_TEST(!arrives(700, 2));
    BOOST_TEST(arrives(700));
    BOOST_TEST(!arrives(2000));
}

BOOST_AUTO_TEST_CASE(aCutIsAFindingUntilTheTimeoutOfItsRoute)
{
    const auto cutAfter = [this](milliseconds age) {
        const SentCall stream = call(CallKind::Stream);
        promises.ran(stream.id, 0, now);
        const std::size_t before = violations();
        promises.answered(stream.id, {200, false, false, event(1, stream.id), ""}, now + age);
        return violations() - before;
    };
    BOOST_TEST(cutAfter(routeTimeout - milliseconds(1)) == 1U);
    BOOST_TEST(cutAfter(routeTimeout) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
