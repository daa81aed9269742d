#include "sched/QuarantineTable.h"
#include "support/CoreHarness.h"

#include <boost/test/unit_test.hpp>
#include <spdlog/fmt/fmt.h>

using namespace tamarack;
using namespace tamarack::harness;
using std::chrono::seconds;

namespace {

const std::string poison = "poisonous prompt";

/// Counts the fingerprints in `state` at an entry.
std::size_t countAt(CoreHarness &harness, int entry, FingerprintState state)
{
    return harness.entry(entry).quarantine().inState(state).size();
}

/// Sends the prompt that crashes engines repeatedly, alternating between both entries, together
/// with harmless requests.
void sendPoison(CoreHarness &harness, int times, Duration every)
{
    for (int i = 0; i < times; ++i) {
        harness.after(every * i, [&harness, i] {
            harness.callModel(i % 2, 1, "ws", poison, 100, 20);
            for (int n = 0; n < 4; ++n)
                harness.callModel(n % 2, 2, "ws", fmt::format("innocent {} {}", i, n), 100, 30);
        });
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineTest)

BOOST_AUTO_TEST_CASE(atMostTwoUpstreamsAreLost)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        HarnessOptions options;
        options.seed = seed;
        options.engines = {1, 2, 3, 2, 3};
        CoreHarness harness(options);
        harness.crashOn(poison);
        harness.run(seconds(1));
        sendPoison(harness, 30, milliseconds(700));
        harness.run(seconds(60));
        harness.checkAtRest();
        BOOST_TEST(harness.violations().empty());
        BOOST_TEST(harness.upstreamCrashes() <= 2);
        BOOST_TEST(harness.upstreamCrashes() >= 1);
        BOOST_TEST(countAt(harness, 0, FingerprintState::Quarantined) == 1U);
        BOOST_TEST(countAt(harness, 1, FingerprintState::Quarantined) == 1U);
        BOOST_TEST(countAt(harness, 0, FingerprintState::Suspect) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(atMostTwoUpstreamsAreLostWhileTheObjectApiIsDown)
{
    HarnessOptions options;
    options.engines = {1, 2, 3, 2};
    CoreHarness harness(options);
    harness.crashOn(poison);
    harness.run(seconds(1));
    harness.storeDown(seconds(600));
    sendPoison(harness, 20, milliseconds(900));
    harness.run(seconds(60));
    BOOST_TEST(harness.upstreamCrashes() <= 2);
    BOOST_TEST(harness.violations().empty());
}

BOOST_AUTO_TEST_CASE(suspectIsNotSentToTheLastHealthyUpstream)
{
    HarnessOptions options;
    options.engines = {2, 3};
    CoreHarness harness(options);
    harness.crashOn(poison);
    harness.run(seconds(1));
    sendPoison(harness, 5, milliseconds(300));
    harness.run(seconds(4));
    // One engine is down: the suspect request must be refused instead of being sent to the last
    // healthy one.
    BOOST_TEST(harness.upstreamCrashes() == 1);
    const auto held = std::ranges::count_if(harness.calls(), [](const CallRecord &call) {
        return call.failure == ErrorKind::SuspectHeld;
    });
    BOOST_TEST(held > 0);
}

BOOST_AUTO_TEST_CASE(otherSuspectsOfACrashAreCleared)
{
    HarnessOptions options;
    options.engines = {2, 2, 2};
    CoreHarness harness(options);
    harness.crashOn(poison);
    harness.run(seconds(1));
    for (int i = 0; i < 12; ++i)
        harness.callModel(i % 2, 1, "ws", fmt::format("neighbour {}", i), 100, 60);
    harness.callModel(0, 1, "ws", poison, 100, 20);
    harness.run(seconds(2));
    BOOST_TEST(countAt(harness, 0, FingerprintState::Suspect) > 1U);
    harness.callModel(0, 1, "ws", poison, 100, 20);
    harness.run(seconds(20));
    BOOST_TEST(countAt(harness, 0, FingerprintState::Suspect) == 0U);
    const auto first = harness.callModel(0, 1, "ws", "neighbour 0", 100, 60);
    harness.run(seconds(10));
    BOOST_TEST(harness.calls()[first].whole);
}

BOOST_AUTO_TEST_CASE(suspectThatCompletesAloneIsCleared)
{
    HarnessOptions options;
    options.engines = {2, 2, 2};
    CoreHarness harness(options);
    harness.run(seconds(1));
    const auto first = harness.callModel(0, 1, "ws", "unlucky", 100, 200);
    harness.run(milliseconds(300));
    for (int gate = 0; gate < 3; ++gate) {
        if (harness.startsAt(gate) > 0)
            harness.crashUpstream(gate, seconds(2));
    }
    harness.run(seconds(3));
    BOOST_TEST((harness.calls()[first].failure == ErrorKind::UpstreamFailed));
    BOOST_TEST(countAt(harness, 1, FingerprintState::Suspect) == 1U);
    const auto again = harness.callModel(1, 1, "ws", "unlucky", 100, 20);
    harness.run(seconds(10));
    BOOST_TEST(harness.calls()[again].whole);
    BOOST_TEST(countAt(harness, 1, FingerprintState::Suspect) == 0U);
}

BOOST_AUTO_TEST_CASE(operatorReleaseClearsTheFingerprint)
{
    QuarantineTable table;
    table.merge({{1, 10, false}, {1, 11, false}, {2, 10, false}});
    BOOST_TEST((table.state(1) == FingerprintState::Quarantined));
    BOOST_TEST((table.state(2) == FingerprintState::Suspect));
    table.merge(table.clearingReports(1));
    BOOST_TEST((table.state(1) == FingerprintState::Free));
}

BOOST_AUTO_TEST_CASE(tablesMergeInAnyOrder)
{
    const std::vector<FingerprintReport> rows{{1, 10, false}, {1, 10, true}, {1, 11, false}};
    QuarantineTable forward;
    forward.merge(rows);
    QuarantineTable backward;
    backward.merge({rows.rbegin(), rows.rend()});
    BOOST_TEST((forward.rows() == backward.rows()));
    BOOST_TEST((forward.state(1) == FingerprintState::Suspect));
    BOOST_TEST(forward.merge(rows).empty());
}

BOOST_AUTO_TEST_SUITE_END()
