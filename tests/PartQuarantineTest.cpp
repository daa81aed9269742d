#include "serving/PartQuarantine.h"
#include "support/CrashSimulation.h"

#include <array>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;
using tamarack::harness::CrashSimulation;
using tamarack::harness::CrashSimulationOptions;
using tamarack::harness::CrashSimulationResult;

namespace {

constexpr TimePoint start{seconds(1000)};
/// The platform's bound on sends of crashing requests.
constexpr std::size_t mostLateSends = 3;
/// Share of all sound requests that may be refused; the platform allows half of those that have the
/// first part of the crashing ones.
constexpr double mostRefused = 0.05;
constexpr std::uint64_t schedules = 40;

std::vector<PromptPart> prompt(PromptPartId first, PromptPartId second)
{
    return {{first, 60}, {second, 100}, {999, 50}};
}

double refusedShare(const CrashSimulationResult &result)
{
    return static_cast<double>(result.allSoundRefused) / static_cast<double>(result.allSound);
}

void crash(PartQuarantine &quarantine, UpstreamKey upstream, TimePoint at, PromptPartId first = 1,
           PromptPartId second = 2)
{
    const std::vector<PartCrash> rows{{first, upstream, 0}, {second, upstream, 1}};
    quarantine.addCrash(rows, at);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PartQuarantineSuite)

BOOST_AUTO_TEST_CASE(mostSpecificPartOfThreeCrashesIsQuarantined)
{
    PartQuarantine quarantine;
    for (UpstreamKey upstream = 1; upstream <= 2; ++upstream)
        crash(quarantine, upstream, start + seconds(upstream));
    crash(quarantine, 2, start + seconds(3));
    BOOST_TEST(!quarantine.isQuarantined(prompt(1, 2)));
    crash(quarantine, 3, start + seconds(4));
    BOOST_TEST(quarantine.isQuarantined(prompt(1, 2)));
    // The first part was in flight each time as well, which the second part explains.
    BOOST_TEST(!quarantine.isQuarantined(prompt(1, 5)));
    // The last part of a prompt belongs to one request only.
    BOOST_TEST(!quarantine.isQuarantined(std::vector<PromptPart>{{5, 60}, {2, 100}}));
    // Further crashes without the second part show that the first one is to blame.
    for (UpstreamKey upstream = 4; upstream <= 6; ++upstream)
        crash(quarantine, upstream, start + seconds(upstream + 1), 1, upstream);
    BOOST_TEST(quarantine.isQuarantined(prompt(1, 5)));
}

BOOST_AUTO_TEST_CASE(responseAfterTheCrashesContradictsThem)
{
    PartQuarantine quarantine;
    crash(quarantine, 1, start);
    crash(quarantine, 2, start + seconds(1));
    quarantine.addAnswer(prompt(1, 2), start + seconds(2));
    crash(quarantine, 3, start + seconds(3));
    BOOST_TEST(!quarantine.isQuarantined(prompt(1, 2)));
    crash(quarantine, 4, start + seconds(4));
    crash(quarantine, 5, start + seconds(5));
    BOOST_TEST(quarantine.isQuarantined(prompt(1, 2)));
    // A response reported late does not contradict later crashes, a newer one does.
    quarantine.merge({}, std::vector<ReportedPartAnswer>{{2, milliseconds(4000), 1}}, 8,
                     start + seconds(6));
    BOOST_TEST(quarantine.isQuarantined(prompt(1, 2)));
    quarantine.merge({}, std::vector<ReportedPartAnswer>{{2, milliseconds(500), 2}}, 8,
                     start + seconds(6));
    BOOST_TEST(!quarantine.isQuarantined(prompt(7, 2)));
}

// A datagram that lay unread made a response look newer than the crashes after it, and entries
// that reported it to each other made it newer still.
BOOST_AUTO_TEST_CASE(repeatedReportOfAResponseDoesNotMakeItNewer)
{
    PartQuarantine quarantine;
    for (UpstreamKey upstream = 1; upstream <= 3; ++upstream)
        crash(quarantine, upstream, start + seconds(upstream), 100 + upstream);
    const std::vector<ReportedPartAnswer> unread{{2, milliseconds(100), 1}};
    quarantine.merge({}, unread, 8, start + seconds(6));
    BOOST_TEST(!quarantine.isQuarantined(prompt(7, 2)));
    const std::vector<ReportedPartAnswer> next{{2, milliseconds(6000), 1}};
    quarantine.merge({}, next, 8, start + seconds(6));
    BOOST_TEST(quarantine.isQuarantined(prompt(7, 2)));
    quarantine.merge({}, unread, 8, start + seconds(7));
    BOOST_TEST(quarantine.isQuarantined(prompt(7, 2)));
    BOOST_TEST(quarantine.answers(start + seconds(7)).empty());
}

BOOST_AUTO_TEST_CASE(upstreamsThatCrashTogetherCountOnce)
{
    PartQuarantine quarantine;
    for (UpstreamKey upstream = 1; upstream <= 12; ++upstream)
        crash(quarantine, upstream, start + seconds(1) + milliseconds(upstream));
    BOOST_TEST(!quarantine.isQuarantined(prompt(1, 2)));
    crash(quarantine, 13, start + seconds(2));
    crash(quarantine, 14, start + seconds(3));
    BOOST_TEST(quarantine.isQuarantined(prompt(1, 2)));
}

BOOST_AUTO_TEST_CASE(evidenceIsExchangedWithItsAgeAndExpires)
{
    PartQuarantine first;
    PartQuarantine second;
    for (UpstreamKey upstream = 1; upstream <= 3; ++upstream)
        crash(first, upstream,
              start + milliseconds(300) * static_cast<int>(upstream) - milliseconds(900));
    for (int second1 = 0; second1 < 300; ++second1) {
        const TimePoint now = start + seconds(second1);
        second.merge(first.crashes(now), first.answers(now), 1, now);
        first.merge(second.crashes(now), second.answers(now), 2, now);
        first.removeExpired(now);
        second.removeExpired(now);
        // The oldest of the three crashes was 600 ms earlier.
        const bool isHeld = now - start + milliseconds(600) < PartQuarantine::retention;
        BOOST_TEST(first.isQuarantined(prompt(1, 2)) == isHeld);
        BOOST_TEST(second.isQuarantined(prompt(1, 2)) == isHeld);
    }
}

BOOST_AUTO_TEST_CASE(trialsAreSentByOneEntryAndBecomeRarer)
{
    PartQuarantine quarantine;
    for (UpstreamKey upstream = 1; upstream <= 3; ++upstream)
        crash(quarantine, upstream,
              start + milliseconds(300) * static_cast<int>(upstream) - milliseconds(900));
    int trials = 0;
    const auto tryFor = [&](int from, int to) {
        for (int second = from; second < to; ++second)
            trials += quarantine.tryTrial(prompt(1, 2), start + seconds(second)) ? 1 : 0;
        return trials;
    };
    BOOST_TEST(tryFor(0, 100) == 0);
    quarantine.setTrialOwner([](PromptPartId) { return true; });
    BOOST_TEST(tryFor(0, 30) == 0);
    BOOST_TEST(tryFor(30, 90) == 1);
    BOOST_TEST(tryFor(90, 110) == 2);
}

// Clients choose the ids, and any request can be in flight next to a crash.
BOOST_AUTO_TEST_CASE(floodOfPartsDoesNotDisplaceACrashingOne)
{
    PartQuarantine quarantine;
    PromptPartId id = 1000;
    const auto flood = [&](UpstreamKey upstream, TimePoint at) {
        std::vector<PartCrash> rows;
        for (std::size_t i = 0; i < PartQuarantine::maxSuspects; ++i)
            rows.push_back({++id, upstream, 1});
        quarantine.addCrash(rows, at);
    };
    crash(quarantine, 1, start);
    crash(quarantine, 2, start + seconds(1));
    for (int i = 0; i < 5; ++i)
        flood(10 + i, start + seconds(2 + i));
    crash(quarantine, 3, start + seconds(8));
    BOOST_TEST(quarantine.isQuarantined(prompt(1, 2)));
    const TimePoint now = start + seconds(9);
    BOOST_TEST(quarantine.crashes(now).size() == PartQuarantine::maxReported);
    BOOST_TEST(quarantine.answers(now).size() <= PartQuarantine::maxReported);
    PartQuarantine other;
    other.merge(quarantine.crashes(now), quarantine.answers(now), 1, now);
    BOOST_TEST(other.isQuarantined(prompt(1, 2)));
}

// Random schedules of requests, crashes and messages; the promises are the platform's rules.
BOOST_AUTO_TEST_CASE(noScheduleExceedsTheBoundOnCrashingRequestsOrRefusesSoundOnes)
{
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        CrashSimulationOptions options;
        constexpr std::array<std::size_t, 3> entryCounts{2, 4, 12};
        constexpr std::array rates{0.5, 1.0, 3.0, 8.0};
        options.entries = entryCounts.at(seed % entryCounts.size());
        options.crashingPerSecond = rates.at(seed % rates.size());
        options.middleParts = seed % 5 == 0 ? 0 : 60;
        options.messageInterval = milliseconds(seed % 2 == 0 ? 20 : 260);
        options.crashesKnownPart = seed % 7 == 0;
        options.disturbsEntries = seed % 3 == 0;
        options.commonCrashInterval = seed % 4 == 1 ? 15 : 0;
        const CrashSimulationResult result = CrashSimulation(options, seed).run();
        const std::string name = "seed " + std::to_string(seed) + ": ";
        BOOST_TEST(result.lateCrashingSends <= mostLateSends, name << result.lateCrashingSends);
        BOOST_TEST(2 * result.soundRefused <= result.sound,
                   name << result.soundRefused << " of " << result.sound);
        BOOST_TEST(refusedShare(result) <= mostRefused,
                   name << result.allSoundRefused << " of " << result.allSound);
    }
}

// All entries are killed at the same moment, twice, while crashing requests come. Five of the seeds
// 1 to 200 exceeded the bound.
BOOST_AUTO_TEST_CASE(crashingPartIsHeldAfterAllEntriesRestart)
{
    constexpr std::array<std::size_t, 3> entryCounts{2, 4, 12};
    constexpr std::array rates{0.5, 1.0, 3.0, 8.0};
    constexpr std::array<std::uint64_t, 5> seeds{41, 85, 139, 153, 191};
    for (const std::uint64_t seed : seeds) {
        CrashSimulationOptions options;
        options.entries = entryCounts.at(seed % entryCounts.size());
        options.crashingPerSecond = rates.at(seed % rates.size());
        options.middleParts = seed % 5 == 0 ? 0 : 60;
        options.messageInterval = milliseconds(260);
        options.commonRestarts = {22, 38};
        options.seconds = 50;
        const CrashSimulationResult result = CrashSimulation(options, seed).run();
        BOOST_TEST(result.lateCrashingSends <= mostLateSends,
                   "seed " << seed << ": " << result.lateCrashingSends);
    }
}

BOOST_AUTO_TEST_CASE(noPartIsQuarantinedForLongWhenUpstreamsCrashForOtherReasons)
{
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        CrashSimulationOptions options;
        options.crashingPerSecond = 0;
        options.commonCrashInterval = 4;
        options.firstParts = 1 + seed % 5;
        options.disturbsEntries = seed % 2 == 0;
        const CrashSimulationResult result = CrashSimulation(options, seed).run();
        BOOST_TEST(refusedShare(result) <= mostRefused,
                   "seed " << seed << ": " << result.allSoundRefused << " of " << result.allSound);
    }
}

BOOST_AUTO_TEST_SUITE_END()
