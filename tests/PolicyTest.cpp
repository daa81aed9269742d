#include "gate/ConcurrencyLimit.h"
#include "gate/DemandTable.h"
#include "support/CoreHarness.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <spdlog/fmt/fmt.h>

using namespace tamarack;
using namespace tamarack::harness;
using std::chrono::seconds;

namespace {

constexpr seconds maxReactionTime{2};

void steadyLoad(CoreHarness &harness, int calls, Duration every)
{
    for (int i = 0; i < calls; ++i)
        harness.after(every * i, [&harness, i] {
            harness.callModel(i % 2, static_cast<TierRank>(i % 4), fmt::format("ws{}", i % 3),
                              fmt::format("call {}", i), 150, 30);
        });
}

} // namespace

BOOST_AUTO_TEST_SUITE(PolicyTest)

BOOST_AUTO_TEST_CASE(slowEngineReceivesFewerStarts)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        HarnessOptions options;
        options.seed = seed;
        options.engines = {2, 2, 2, 2};
        CoreHarness harness(options);
        harness.run(seconds(1));
        steadyLoad(harness, 900, milliseconds(20));
        harness.run(seconds(6));
        const auto before = harness.startsAt(1);
        harness.slowUpstream(1, 10);
        harness.run(maxReactionTime);
        const auto startsAfterReaction = harness.startsAt(1);
        harness.run(seconds(6));
        const auto after = harness.startsAt(1) - startsAfterReaction;
        // At equal speed this engine gets a quarter of all starts; at a tenth of the speed its fair
        // share is about a fortieth.
        BOOST_TEST(after * 4 <= before, "starts in 6 s before " << before << ", after " << after);
        const TimePoint slowed = harness.now() - seconds(6);
        std::size_t late = 0;
        std::size_t top = 0;
        for (const CallRecord &call : harness.calls()) {
            if (call.submission.tier != 0 || call.sentAt < slowed || !call.whole)
                continue;
            ++top;
            late += call.firstByteAt - call.sentAt > milliseconds(420);
        }
        BOOST_TEST(top > 0U);
        BOOST_TEST(late * 20 <= top, late << " late of " << top);
    }
}

BOOST_AUTO_TEST_CASE(presetChangeUnderLoadInterruptsNoResponse)
{
    CoreHarness harness({});
    harness.run(seconds(1));
    steadyLoad(harness, 300, milliseconds(20));
    for (int i = 0; i < 5; ++i)
        harness.after(seconds(i + 1), [&harness, i] {
            harness.acceptConfig(defaultConfig(i % 2 == 0 ? "peak" : "maintenance"), i % 2);
        });
    harness.run(seconds(30));
    harness.checkAtRest();
    BOOST_TEST(harness.violations().empty());
    BOOST_TEST(std::ranges::all_of(harness.calls(), &CallRecord::whole));
    BOOST_TEST(harness.gate(0).config()->presetInForce == "peak");
}

BOOST_AUTO_TEST_CASE(concurrencyLimitFollowsTokenLatency)
{
    ConcurrencyLimit limit(64);
    TimePoint now{seconds(10)};
    const auto window = [&](Duration gap, int inFlight) {
        for (int i = 0; i < 40; ++i) {
            now += milliseconds(4);
            limit.recordGap(gap, now);
        }
        limit.evaluate(inFlight, now);
    };
    for (int i = 0; i < 10; ++i)
        window(milliseconds(20), limit.limit());
    const int high = limit.limit();
    BOOST_TEST(high > 30);
    window(milliseconds(200), high);
    BOOST_TEST(limit.limit() < high);
    for (int i = 0; i < 30; ++i)
        window(milliseconds(200), limit.limit());
    BOOST_TEST(limit.limit() == 1);
    for (int i = 0; i < 60; ++i)
        window(milliseconds(20), limit.limit());
    BOOST_TEST(limit.limit() > 10);
}

BOOST_AUTO_TEST_CASE(workspacesShareByWeight)
{
    DemandTable table("dc");
    table.addEntry(1, "dc");
    table.setWeight("large", 1);
    table.setWeight("small", 1);
    table.setWeight("heavy", 2);
    table.replace(1, {{{"m", 1, "large", 1000, 1000},
                       {"m", 1, "small", 1000, 1000},
                       {"m", 1, "heavy", 1000, 1000}}});
    std::map<std::string, int> served;
    const std::vector<std::string> targets{"m"};
    for (int i = 0; i < 400; ++i) {
        const auto choice = table.next(targets);
        BOOST_REQUIRE(choice);
        ++served[choice->row.workspace];
        table.charge(choice->row.workspace, 100);
        table.markCredited(*choice);
    }
    BOOST_TEST(served["large"] == 100);
    BOOST_TEST(served["small"] == 100);
    BOOST_TEST(served["heavy"] == 200);
}

BOOST_AUTO_TEST_CASE(ownDataCentreGoesFirstWithinTierAndWorkspace)
{
    DemandTable table("dc-b");
    table.addEntry(1, "dc-a");
    table.addEntry(2, "dc-b");
    table.replace(1, {{{"m", 1, "ws", 9, 9}}});
    table.replace(2, {{{"m", 1, "ws", 1, 1}}});
    const std::vector<std::string> targets{"m"};
    BOOST_TEST(table.next(targets)->entry == 2U);
    table.replace(1, {{{"m", 0, "ws", 1, 1}}});
    BOOST_TEST(table.next(targets)->entry == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
