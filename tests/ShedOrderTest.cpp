#include "sched/ShedControl.h"
#include "support/CoreHarness.h"

#include <boost/test/unit_test.hpp>
#include <spdlog/fmt/fmt.h>

using namespace tamarack;
using namespace tamarack::harness;
using std::chrono::seconds;

namespace {

constexpr int entryCount = 4;
constexpr std::size_t queueLimit = 20;

struct ShedCounts
{
    std::array<int, 4> shed{};
    std::array<int, 4> whole{};
};

ShedCounts countByTier(const CoreHarness &harness)
{
    ShedCounts counts;
    for (const CallRecord &call : harness.calls()) {
        counts.shed[call.submission.tier] += call.failure == ErrorKind::Overloaded;
        counts.whole[call.submission.tier] += call.whole;
    }
    return counts;
}

/// Submits bursts of requests. Three in four arrive at the entry whose number is their tier, so
/// entry 0 receives most of the highest tier and entry 3 most of the lowest.
void overload(CoreHarness &harness, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (int i = 0; i < 1200; ++i) {
        const auto tier = static_cast<TierRank>(random() % 4);
        const bool own = random() % 4 != 0;
        const int entry = own ? tier : static_cast<int>(random() % entryCount);
        const auto delay = milliseconds(500 + random() % 4 * 700 + random() % 200);
        const auto tokens = static_cast<std::uint32_t>(5 + random() % 40);
        harness.after(delay, [&harness, entry, tier, i, tokens] {
            harness.callModel(entry, tier, fmt::format("ws{}", i % 3), fmt::format("call {}", i),
                              300, tokens, seconds(20));
        });
    }
}

HarnessOptions overloadOptions(std::uint64_t seed)
{
    HarnessOptions options;
    options.entries = entryCount;
    options.seed = seed;
    options.configText = defaultConfig("ordinary", queueLimit);
    options.adjustGate = [](GateOptions &gate) { gate.capacity = 6; };
    return options;
}

void requireNoViolations(const CoreHarness &harness)
{
    BOOST_TEST(harness.violations().empty(),
               (harness.violations().empty() ? "" : harness.violations().front()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShedOrderTest)

BOOST_AUTO_TEST_CASE(noTierIsShedWhileALowerOneWaitsAnywhere)
{
    int highShed = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CoreHarness harness(overloadOptions(seed));
        overload(harness, seed);
        harness.run(seconds(40));
        harness.checkAtRest();
        requireNoViolations(harness);
        const ShedCounts counts = countByTier(harness);
        highShed += counts.shed[0] + counts.shed[1] + counts.shed[2];
        BOOST_TEST(counts.shed[3] > 0);
    }
    // The rule is exercised only if requests of higher tiers were shed as well.
    BOOST_TEST(highShed > 0);
}

BOOST_AUTO_TEST_CASE(shedOrderHoldsWhileHeartbeatsAreLost)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CoreHarness harness(overloadOptions(seed));
        overload(harness, seed + 100);
        std::mt19937_64 random(seed);
        for (int i = 0; i < 8; ++i) {
            const int entry = static_cast<int>(random() % entryCount);
            const int gate = static_cast<int>(random() % 3);
            harness.after(milliseconds(400 + random() % 3000),
                          [&harness, entry, gate] { harness.silenceLink(entry, gate); });
        }
        harness.after(milliseconds(900), [&harness] { harness.pauseEntry(1, milliseconds(2500)); });
        harness.run(seconds(40));
        harness.checkAtRest();
        requireNoViolations(harness);
    }
}

BOOST_AUTO_TEST_CASE(burstOfALowTierDoesNotDelayTheHighest)
{
    CoreHarness harness(overloadOptions(7));
    harness.run(seconds(1));
    for (int i = 0; i < 300; ++i)
        harness.callModel(i % entryCount, 3, "ws", fmt::format("low {}", i), 300, 20);
    harness.run(milliseconds(500));
    for (int i = 0; i < 10; ++i)
        harness.callModel(i % entryCount, 0, "ws", fmt::format("high {}", i), 100, 10);
    harness.run(seconds(30));
    const ShedCounts counts = countByTier(harness);
    BOOST_TEST(counts.whole[0] == 10);
    for (const CallRecord &call : harness.calls()) {
        if (call.submission.tier == 0)
            BOOST_TEST(toMs(call.firstByteAt - call.sentAt) < 1000);
    }
    requireNoViolations(harness);
}

BOOST_AUTO_TEST_CASE(tiersOpenOneAtATimeAndNotBeforeTheOthers)
{
    constexpr Duration step = milliseconds(300);
    ShedControl control{seconds(3)};
    control.setTierCount(4);
    TimePoint now = TimePoint{} + std::chrono::hours(1);
    std::array<TierQueue, 4> queues{};
    GateHeartbeat gate;
    const auto update = [&] {
        now += step;
        control.observeGate(1, gate, now);
        control.update(queues, now);
    };
    queues[0] = {10, 5, true};
    for (int i = 0; i < 10; ++i) {
        gate.wantedLevel = gate.promisedLevel = gate.closedLevel = control.closedLevel();
        update();
    }
    BOOST_REQUIRE(control.closedLevel() == 3);
    queues[0] = {};
    gate.wantedLevel = gate.promisedLevel = 0;
    std::vector<ShedLevel> levels;
    for (int i = 0; i < 20; ++i) {
        update();
        levels.push_back(control.closedLevel());
    }
    // The gate reports an entry still at level 3, so this entry may open only one tier.
    BOOST_TEST((std::ranges::find(levels, 1) == levels.end()));
    BOOST_TEST(levels.back() == 2);
    gate.closedLevel = 2;
    update();
    BOOST_TEST(control.closedLevel() == 1);
    gate.closedLevel = 0;
    update();
    BOOST_TEST(control.closedLevel() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
