#include "control/StatusReport.h"
#include "support/CoreHarness.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <spdlog/fmt/fmt.h>

using namespace tamarack;
using namespace tamarack::harness;
using std::chrono::seconds;

namespace {

void keepBusy(CoreHarness &harness, int calls, Duration every)
{
    for (int i = 0; i < calls; ++i)
        harness.after(every * i, [&harness, i] {
            harness.callModel(i % 2, static_cast<TierRank>(i % 4), "ws", fmt::format("call {}", i),
                              200, 40);
        });
}

/// Drains gate 1 through `leave` one second into a steady load, and checks that every call
/// completes and that the gate becomes idle.
template <typename Leave>
void requireCleanLeave(
    Leave leave, void (*prepare)(CoreHarness &) = [](CoreHarness &) {})
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        HarnessOptions options;
        options.seed = seed;
        CoreHarness harness(options);
        prepare(harness);
        harness.run(seconds(3));
        keepBusy(harness, 300, milliseconds(20));
        harness.run(seconds(1));
        leave(harness);
        harness.run(seconds(30));
        harness.checkAtRest();
        BOOST_TEST(harness.violations().empty(),
                   (harness.violations().empty() ? "" : harness.violations().front()));
        BOOST_TEST(std::ranges::all_of(harness.calls(), &CallRecord::whole));
        BOOST_TEST(harness.startsAt(1) > 0U);
        BOOST_TEST(harness.gate(1).idle());
    }
}

std::string markedConfig(const std::string &upstream, Mark mark)
{
    return withMark(defaultConfig(), upstream, mark);
}

} // namespace

BOOST_AUTO_TEST_SUITE(DrainTest)

BOOST_AUTO_TEST_CASE(signalStopsNewRequestsWithoutInterruptingRunningOnes)
{
    requireCleanLeave([](CoreHarness &harness) { harness.setLeaving(1, true); });
}

BOOST_AUTO_TEST_CASE(hostListStopsNewRequestsWithoutInterruptingRunningOnes)
{
    requireCleanLeave([](CoreHarness &harness) { harness.setHostLeaving(1, true); });
}

BOOST_AUTO_TEST_CASE(markStopsNewRequestsWithoutInterruptingRunningOnes)
{
    requireCleanLeave(
        [](CoreHarness &harness) { harness.acceptConfig(markedConfig("up-1", Mark::Stop), 0); });
}

BOOST_AUTO_TEST_CASE(markReachesGateThatOneEntryCannotReach)
{
    requireCleanLeave(
        [](CoreHarness &harness) { harness.acceptConfig(markedConfig("up-1", Mark::Leave), 0); },
        [](CoreHarness &harness) { harness.partition(0, 1, seconds(30)); });
}

BOOST_AUTO_TEST_CASE(creditsHeldWhenUpstreamLeavesAreNotUsed)
{
    HarnessOptions options;
    options.configText = defaultConfig("ordinary", 100, 60'000);
    CoreHarness harness(options);
    harness.run(seconds(1));
    harness.setLeaving(0, true);
    harness.setLeaving(1, true);
    harness.setLeaving(2, true);
    const auto call = harness.callModel(0, 0, "ws", "late", 10, 5, seconds(20));
    harness.run(seconds(2));
    harness.setLeaving(2, false);
    harness.run(seconds(10));
    BOOST_TEST(harness.calls()[call].whole);
    BOOST_TEST(harness.violations().empty());
}

BOOST_AUTO_TEST_CASE(drainingEntryCompletesItsRequests)
{
    CoreHarness harness({});
    harness.run(seconds(1));
    keepBusy(harness, 40, milliseconds(5));
    harness.run(milliseconds(300));
    harness.entry(0).setDraining(true);
    const auto late = harness.callModel(0, 0, "ws", "late", 10, 5);
    harness.run(seconds(20));
    harness.checkAtRest();
    BOOST_TEST((harness.calls()[late].failure == ErrorKind::Draining));
    BOOST_TEST(std::ranges::count_if(harness.calls(), &CallRecord::whole) == 40);
}

BOOST_AUTO_TEST_CASE(requestOfDisconnectedCallerIsNeverDispatched)
{
    HarnessOptions options;
    options.adjustGate = [](GateOptions &gate) {
        gate.capacity = 1;
        gate.spareCredits = false;
    };
    CoreHarness harness(options);
    harness.run(seconds(1));
    for (int i = 0; i < 6; ++i)
        harness.callModel(0, 0, "ws", fmt::format("long {}", i), 100, 100);
    harness.run(milliseconds(50));
    const auto waiting = harness.callModel(0, 3, "ws", "impatient", 10, 5);
    harness.run(milliseconds(50));
    harness.hangUp(waiting);
    harness.run(seconds(60));
    BOOST_TEST(!harness.ranAnywhere(harness.calls()[waiting].id));
    BOOST_TEST(harness.violations().empty());
}

BOOST_AUTO_TEST_CASE(statusListsEveryEntryBeforeFirstPeriodicReport)
{
    HarnessOptions options;
    CoreHarness harness(options);
    harness.run(milliseconds(1500));
    const boost::json::value report = statusReport(harness.entry(0));
    std::size_t entries = 0;
    for (const auto &process : report.at("processes").as_array())
        entries += process.at("role").as_string() == "entry" ? 1 : 0;
    BOOST_TEST(entries == static_cast<std::size_t>(options.entries));
}

BOOST_AUTO_TEST_SUITE_END()
