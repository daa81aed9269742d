#include "support/CoreHarness.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::harness;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(KeyedTest)

/// The first entry is paused between its claim and its dispatch for less than the credit lifetime.
/// A status query from another entry meanwhile revokes the credit, so only one of the two runs.
BOOST_AUTO_TEST_CASE(aClaimOfAPausedEntryRunsOnce)
{
    for (const Step step : {Step::ClaimSent, Step::ClaimAnswered}) {
        for (const int retryMs : {20, 60, 150, 400}) {
            CoreHarness harness({});
            harness.run(seconds(1));
            bool paused = false;
            harness.onStep([&](std::size_t call, Step reached, int) {
                if (call != 0 || reached != step || std::exchange(paused, true))
                    return;
                harness.pauseEntry(0, milliseconds(700));
            });
            const auto first = harness.callService(0, "key", "body", seconds(20));
            harness.after(milliseconds(retryMs),
                          [&] { harness.callService(1, "key", "body", seconds(20)); });
            harness.run(seconds(10));
            harness.checkAtRest();
            BOOST_TEST(paused);
            BOOST_TEST(harness.violations().empty(),
                       (harness.violations().empty() ? "" : harness.violations().front()));
            BOOST_TEST(harness.serviceRuns("key") == 1);
            BOOST_TEST(harness.calls()[first].whole);
            BOOST_TEST(harness.calls()[first + 1].whole);
        }
    }
}

BOOST_AUTO_TEST_CASE(aReusedKeyWithAnotherBodyIsAnError)
{
    CoreHarness harness({});
    harness.run(seconds(1));
    harness.callService(0, "key", "one");
    harness.run(seconds(2));
    const auto other = harness.callService(1, "key", "two");
    harness.run(seconds(2));
    BOOST_TEST((harness.calls()[other].failure == ErrorKind::KeyConflict));
    BOOST_TEST(harness.serviceRuns("key") == 1);
}

BOOST_AUTO_TEST_CASE(manyCallersOfOneKeyGetOneAnswer)
{
    HarnessOptions options;
    options.entries = 4;
    CoreHarness harness(options);
    harness.run(seconds(1));
    for (int i = 0; i < 40; ++i)
        harness.callService(i % 4, "key", "body", seconds(30));
    harness.run(seconds(30));
    harness.checkAtRest();
    BOOST_TEST(harness.violations().empty());
    BOOST_TEST(harness.serviceRuns("key") == 1);
    BOOST_TEST(std::ranges::all_of(harness.calls(), &CallRecord::whole));
}

BOOST_AUTO_TEST_CASE(nonIdempotentCallsAreRefusedWithoutTheObjectApi)
{
    CoreHarness harness({});
    harness.run(seconds(1));
    harness.storeDown(seconds(20));
    const auto call = harness.callService(0, "key", "body", seconds(10));
    harness.run(seconds(15));
    BOOST_TEST((harness.calls()[call].failure == ErrorKind::StoreUnavailable));
    BOOST_TEST(harness.serviceRuns("key") == 0);
    harness.run(seconds(10));
    const auto again = harness.callService(1, "key", "body", seconds(10));
    harness.run(seconds(10));
    BOOST_TEST(harness.calls()[again].whole);
    BOOST_TEST(harness.serviceRuns("key") == 1);
}

BOOST_AUTO_TEST_CASE(idempotentKeyedRequestsRunWithoutTheObjectApi)
{
    CoreHarness harness({});
    harness.run(seconds(1));
    harness.storeDown(seconds(60));
    for (int i = 0; i < 20; ++i)
        harness.after(milliseconds(200) * i, [&harness, i] {
            Submission submission;
            submission.target = "model";
            submission.workspace = "ws";
            submission.timeToDeadline = seconds(20);
            submission.key = "key-" + std::to_string(i);
            submission.body = {"POST", "/v1/completions", "", submission.key, true};
            submission.fingerprint = static_cast<Fingerprint>(i + 1);
            harness.call(i % 2, std::move(submission), 5);
        });
    harness.run(seconds(12));
    harness.checkAtRest();
    BOOST_TEST(std::ranges::none_of(harness.calls(), &CallRecord::connectionLost));
    for (const CallRecord &call : harness.calls()) {
        BOOST_TEST(!call.failure.has_value());
        BOOST_TEST(toMs(call.endedAt - call.sentAt) < 4000);
    }
}

/// The credit outlives the store outage, so only the missing claim prevents the call from running.
BOOST_AUTO_TEST_CASE(nonIdempotentCallsNeverRunUnclaimed)
{
    HarnessOptions options;
    options.adjustGate = [](GateOptions &gate) { gate.creditLife = seconds(8); };
    CoreHarness harness(options);
    harness.run(seconds(1));
    harness.storeDown(seconds(3));
    const auto first = harness.callService(0, "key", "body", seconds(20));
    harness.after(milliseconds(3500), [&] { harness.callService(1, "key", "body", seconds(20)); });
    harness.run(seconds(12));
    harness.checkAtRest();
    BOOST_TEST((harness.calls()[first].failure == ErrorKind::StoreUnavailable));
    BOOST_TEST(harness.calls()[first + 1].whole);
    BOOST_TEST(harness.serviceRuns("key") == 1);
    BOOST_TEST(harness.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
