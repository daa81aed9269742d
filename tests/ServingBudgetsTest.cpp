#include "serving/CrashLedger.h"
#include "serving/EngineTimeModel.h"
#include "serving/FreshnessGuard.h"
#include "serving/PeerRegistry.h"
#include "serving/QuotaLedger.h"
#include "serving/RetryBudget.h"
#include "serving/UpstreamDirectory.h"
#include "serving/WaitPolicy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <ranges>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{seconds(1000)};

ServingConfig quotaConfig(double rate, double burst)
{
    ServingConfig config;
    Workspace workspace;
    workspace.name = "w";
    workspace.rate = rate;
    workspace.burst = burst;
    config.workspaces = {workspace};
    return config;
}

/// Checks that no window of 8 s exceeds the quota (1,000 per second, burst 1,000) by more than 10
/// %.
void checkEveryWindow(const std::vector<int> &sentAtMs, double cost)
{
    for (auto first = sentAtMs.begin(); first != sentAtMs.end(); ++first) {
        const auto end = std::upper_bound(first, sentAtMs.end(), *first + 8000);
        BOOST_TEST(static_cast<double>(end - first) * cost <= (1000 * 8 + 1000) * 1.1);
    }
}

/// Charges a request and sends it at once.
bool takeAndSend(QuotaLedger &ledger, double cost, TimePoint now)
{
    const bool taken = ledger.tryReserve("w", cost, now);
    if (taken)
        ledger.commit("w", cost, now);
    return taken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaLedgerSuite)

// A workspace exceeded its quota in the 8 s after a burst, because requests that were refused after
// queueing released their cost into a later window. For the first 2 s, every admitted request is
// queued for 500 ms and then released; later ones are sent at once.
BOOST_AUTO_TEST_CASE(releasedCostDoesNotRaiseALaterWindow)
{
    constexpr double cost = 100;
    constexpr int waitMs = 500;
    constexpr int refusedUntilMs = 2000;
    QuotaLedger ledger;
    ledger.configure(quotaConfig(1000, 1000), start - seconds(20));
    std::vector<int> sentAtMs;
    std::vector<int> releasedAtMs;
    for (int ms = 0; ms < 20'000; ++ms) {
        const TimePoint now = start + milliseconds(ms);
        for (const int at : releasedAtMs)
            if (at == ms)
                ledger.release("w", cost);
        if (ms % 10 != 0 || !ledger.tryReserve("w", cost, now))
            continue;
        if (ms < refusedUntilMs) {
            releasedAtMs.push_back(ms + waitMs);
            continue;
        }
        ledger.commit("w", cost, now);
        sentAtMs.push_back(ms);
    }
    checkEveryWindow(sentAtMs, cost);
}

// All requests admitted in the first 3 s stay queued and are sent together at the end of the 3 s.
BOOST_AUTO_TEST_CASE(queuedRequestsCountInTheWindowInWhichTheyAreSent)
{
    constexpr double cost = 100;
    constexpr int sentTogetherAtMs = 3000;
    QuotaLedger ledger;
    ledger.configure(quotaConfig(1000, 1000), start - seconds(20));
    std::vector<int> sentAtMs;
    int waiting = 0;
    for (int ms = 0; ms < 20'000; ++ms) {
        const TimePoint now = start + milliseconds(ms);
        for (; ms == sentTogetherAtMs && waiting > 0; --waiting) {
            ledger.commit("w", cost, now);
            sentAtMs.push_back(ms);
        }
        if (ms % 10 != 0 || !ledger.tryReserve("w", cost, now))
            continue;
        if (ms < sentTogetherAtMs) {
            ++waiting;
            continue;
        }
        ledger.commit("w", cost, now);
        sentAtMs.push_back(ms);
    }
    checkEveryWindow(sentAtMs, cost);
}

// Like the first case, but with four entries that exchange reports every 100 ms: a release that is
// reported late must not let the other entries exceed the quota either.
BOOST_AUTO_TEST_CASE(costReleasedByAnotherEntryDoesNotRaiseALaterWindow)
{
    constexpr double cost = 100;
    constexpr int waitMs = 500;
    constexpr int refusedUntilMs = 2000;
    std::array<QuotaLedger, 4> ledgers;
    for (QuotaLedger &ledger : ledgers)
        ledger.configure(quotaConfig(1000, 1000), start - seconds(20));
    std::vector<int> sentAtMs;
    std::array<std::vector<int>, 4> releasedAtMs;
    for (int ms = 0; ms < 20'000; ++ms) {
        const TimePoint now = start + milliseconds(ms);
        for (std::size_t i = 0; i < ledgers.size(); ++i) {
            for (int back = std::ranges::count(releasedAtMs[i], ms); back > 0; --back)
                ledgers[i].release("w", cost);
            if (ms % 40 == 0 && ledgers[i].tryReserve("w", cost, now)) {
                if (ms < refusedUntilMs) {
                    releasedAtMs[i].push_back(ms + waitMs);
                } else {
                    ledgers[i].commit("w", cost, now);
                    sentAtMs.push_back(ms);
                }
            }
        }
        for (std::size_t i = 0; ms % 100 == 0 && i < ledgers.size(); ++i)
            for (std::size_t j = 0; j < ledgers.size(); ++j)
                if (i != j)
                    ledgers[j].applyReport(i + 1, ledgers[i].uses(), now);
    }
    checkEveryWindow(sentAtMs, cost);
}

// Pending units of an entry that stops reporting must not block the quota for good.
BOOST_AUTO_TEST_CASE(pendingUseOfAnUnresponsiveEntryExpires)
{
    QuotaLedger ledger;
    ledger.configure(quotaConfig(1000, 1000), start);
    const TimePoint filled = start + seconds(10);
    ledger.applyReport(1, {{"w", 0, 0}}, filled);
    ledger.applyReport(1, {{"w", 0, 9000}}, filled);
    BOOST_TEST(!ledger.tryReserve("w", 1, filled + seconds(1)));
    const TimePoint silent = filled + seconds(10);
    ledger.setReportingShare(1, silent);
    BOOST_TEST(ledger.tryReserve("w", 1, silent));
}

// A workspace sends many times its quota through four entries, each of which receives the others'
// use up to 50 ms late. The window of 8 s must keep the published bound without its slack.
BOOST_AUTO_TEST_CASE(entriesTogetherKeepTheQuota)
{
    std::array<QuotaLedger, 4> ledgers;
    for (QuotaLedger &ledger : ledgers)
        ledger.configure(quotaConfig(1000, 1000), start);
    double taken = 0;
    constexpr int steps = 8000;
    for (int ms = 0; ms < steps; ++ms) {
        const TimePoint now = start + milliseconds(ms);
        for (QuotaLedger &ledger : ledgers)
            taken += takeAndSend(ledger, 10, now) ? 10 : 0;
        for (std::size_t i = 0; ms % 50 == 0 && i < ledgers.size(); ++i)
            for (std::size_t j = 0; j < ledgers.size(); ++j)
                if (i != j)
                    ledgers[j].applyReport(i + 1, ledgers[i].uses(), now);
    }
    BOOST_TEST(taken <= (1000 * 8 + 1000) * 1.1);
    BOOST_TEST(taken >= 1000 * 8 * 0.9);
}

BOOST_AUTO_TEST_CASE(changedUsesAreNewOrDifferent)
{
    const std::vector<QuotaUse> before{{"a", 1}, {"b", 2}, {"d", 4}};
    const std::vector<QuotaUse> now{{"a", 1}, {"b", 5}, {"c", 3}, {"d", 4}};
    const std::vector<QuotaUse> expected{{"b", 5}, {"c", 3}};
    BOOST_TEST((changedUses(before, now) == expected));
    BOOST_TEST((changedUses({}, now) == now));
}

// A workspace whose quota had been lowered was granted less than its quota in a window.
BOOST_AUTO_TEST_CASE(aSteadyOverloadGetsTheQuotaOfEachWindowAndNoMore)
{
    QuotaLedger ledger(seconds(8));
    ledger.configure(quotaConfig(1000, 4000), start);
    std::vector<double> taken(40, 0);
    for (int ms = 0; ms < 40000; ++ms)
        if (takeAndSend(ledger, 10, start + milliseconds(ms)))
            taken[static_cast<std::size_t>(ms / 1000)] += 10;
    for (std::size_t first = 0; first + 8 <= taken.size(); ++first) {
        const auto begin = taken.begin() + static_cast<long>(first);
        const double window = std::accumulate(begin, begin + 8, 0.0);
        BOOST_TEST(window <= (1000 * 8 + 4000) * 1.05);
        if (first > 8)
            BOOST_TEST(window >= (1000 * 8 + 4000) * 0.9);
    }
}

BOOST_AUTO_TEST_CASE(partitionedEntriesShareTheRate)
{
    std::array<QuotaLedger, 4> ledgers;
    double taken = 0;
    for (QuotaLedger &ledger : ledgers) {
        ledger.configure(quotaConfig(1000, 1000), start);
        ledger.setReportingShare(0.25, start);
        for (int ms = 0; ms < 8000; ++ms)
            taken += takeAndSend(ledger, 10, start + milliseconds(ms)) ? 10 : 0;
    }
    BOOST_TEST(taken <= (1000 * 8 + 1000) * 1.1);
}

BOOST_AUTO_TEST_CASE(largeRequestsAreNotStarvedBySmallOnes)
{
    QuotaLedger ledger;
    ledger.configure(quotaConfig(1000, 1000), start);
    int large = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        const TimePoint now = start + milliseconds(ms);
        if (ms % 100 == 0)
            large += takeAndSend(ledger, 900, now) ? 1 : 0;
        takeAndSend(ledger, 20, now);
    }
    BOOST_TEST(large > 0);
}

BOOST_AUTO_TEST_CASE(lowerQuotasTakeEffectAtOnceAndUnsentCostIsReleased)
{
    QuotaLedger ledger;
    ledger.configure(quotaConfig(1000, 1000), start);
    ledger.tryReserve("w", 0, start + seconds(10));
    BOOST_TEST(ledger.level("w") == 1000);
    ledger.configure(quotaConfig(10, 20), start + seconds(10));
    BOOST_TEST(ledger.level("w") == 20);
    BOOST_TEST(ledger.tryReserve("w", 15, start + seconds(10)));
    ledger.release("w", 15);
    BOOST_TEST(ledger.level("w") == 20);
    BOOST_TEST(ledger.tryReserve("unknown", 1e9, start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RetryBudgetSuite)

namespace {

bool trySpend(RetryBudget &budget, TimePoint now)
{
    if (!budget.tryReserve("s", now))
        return false;
    budget.spend("s", now);
    return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(everyWindowKeepsTheBound)
{
    RetryBudget budget({0.2, seconds(10), 50}, start);
    budget.setEntries(1, start);
    std::vector<int> spent(60, 0);
    for (int ms = 0; ms < 60000; ++ms) {
        const TimePoint now = start + milliseconds(ms);
        if (ms % 10 == 0)
            budget.countRequest("s", now);
        spent[static_cast<std::size_t>(ms / 1000)] += trySpend(budget, now) ? 1 : 0;
    }
    for (std::size_t first = 0; first + 10 <= spent.size(); ++first) {
        const int sum = std::accumulate(spent.begin() + static_cast<long>(first),
                                        spent.begin() + static_cast<long>(first) + 10, 0);
        BOOST_TEST(sum <= 0.2 * 1000 + 50);
    }
}

BOOST_AUTO_TEST_CASE(entriesShareTheSlack)
{
    int spent = 0;
    for (int entry = 0; entry < 4; ++entry) {
        RetryBudget budget({0.2, seconds(10), 54}, start);
        budget.setEntries(4, start);
        for (int i = 0; i < 100; ++i)
            spent += trySpend(budget, start + milliseconds(100) * i) ? 1 : 0;
    }
    BOOST_TEST(spent <= 54);
    BOOST_TEST(spent > 20);
}

BOOST_AUTO_TEST_CASE(releasedRetriesCanBeReservedAgain)
{
    RetryBudget budget({0.2, seconds(10), 54}, start);
    budget.setEntries(1, start);
    budget.countRequest("s", start);
    const TimePoint now = start + seconds(10);
    int reserved = 0;
    while (budget.tryReserve("s", now))
        ++reserved;
    BOOST_TEST(reserved > 1);
    BOOST_TEST(!budget.tryReserve("s", now));
    budget.release("s");
    BOOST_TEST(budget.tryReserve("s", now));
    BOOST_TEST(!budget.tryReserve("s", now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FreshnessGuardSuite)

BOOST_AUTO_TEST_CASE(configurationIsFreshForTheBoundMinusTheMargin)
{
    FreshnessGuard guard(milliseconds(5000), milliseconds(1250));
    BOOST_TEST(!guard.isFresh(seconds(10)));
    guard.recordProof(seconds(10));
    guard.recordProof(seconds(9));
    BOOST_TEST(guard.isFresh(seconds(10) + milliseconds(3749)));
    BOOST_TEST(!guard.isFresh(seconds(10) + milliseconds(3750)));
    BOOST_TEST(guard.isCurrent(seconds(12)));
    BOOST_TEST(!guard.isCurrent(seconds(13)));
    BOOST_TEST(guard.age(seconds(12))->count() == 2000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CrashLedgerSuite)

BOOST_AUTO_TEST_CASE(fingerprintsAreQuarantinedAfterCrashesOfThreeUpstreams)
{
    CrashLedger ledger;
    ledger.add({7, 1}, start);
    ledger.add({7, 2}, start);
    BOOST_TEST(!ledger.add({7, 2}, start));
    BOOST_TEST(!ledger.isQuarantined(7, start));
    BOOST_TEST(!ledger.quarantinesAny());
    ledger.add({7, 3}, start + seconds(1));
    BOOST_TEST(ledger.isQuarantined(7, start + seconds(2)));
    BOOST_TEST(ledger.quarantinesAny());
    BOOST_TEST(!ledger.isQuarantined(8, start + seconds(2)));
    BOOST_TEST(!ledger.isQuarantined(7, start + CrashLedger::retention));
    ledger.removeExpired(start + CrashLedger::retention);
    BOOST_TEST(!ledger.quarantinesAny());
    BOOST_TEST(ledger.rows(10, start + CrashLedger::retention).size() == 1U);
}

// Crash rows that entries reported on to one another returned to entries that had already dropped
// them, so that a quarantine never ended.
BOOST_AUTO_TEST_CASE(quarantinesExpireWhileEntriesExchangeReports)
{
    std::array<CrashLedger, 3> ledgers;
    for (UpstreamKey upstream = 1; upstream <= CrashLedger::crashesToQuarantine; ++upstream)
        ledgers[0].add({7, upstream}, start);
    constexpr int joinEvery = 10;
    for (int second = 0; second < 300; ++second) {
        const TimePoint now = start + seconds(second);
        const auto joined = ledgers | std::views::take(1 + second / joinEvery);
        for (CrashLedger &from : joined)
            for (CrashLedger &to : joined)
                for (const ReportedCrash &told : from.rows(32, now))
                    to.merge(told, now);
        for (CrashLedger &ledger : ledgers)
            ledger.removeExpired(now);
        if (second == 2 * joinEvery)
            BOOST_TEST(std::ranges::all_of(ledgers, [now](const CrashLedger &ledger) {
                return ledger.isQuarantined(7, now);
            }));
    }
    const TimePoint end = start + seconds(300);
    BOOST_TEST(std::ranges::none_of(
        ledgers, [end](const CrashLedger &ledger) { return ledger.isQuarantined(7, end); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PeerBookSuite)

BOOST_AUTO_TEST_CASE(sumsReportedLoadsAndExpiresUnresponsiveEntries)
{
    PeerRegistry book("me");
    book.setKnown({"me", "a", "b"});
    EntryLoad load;
    load.name = "a";
    load.incarnation = 1;
    load.sequence = 2;
    load.loads = {{5, {3, 100}}};
    load.demand = {{"models", 1, 4, 0}};
    BOOST_TEST(book.handleReport(load, start));
    BOOST_TEST(!book.handleReport(load, start));
    load.name = "me";
    BOOST_TEST(!book.handleReport(load, start));
    BOOST_TEST(book.loads(start).at(5).inFlight == 3U);
    BOOST_TEST(book.demand(start).size() == 1U);
    BOOST_TEST(std::abs(book.reachableShare(start) - 2.0 / 3) < 1e-9);
    BOOST_TEST(book.loads(start + PeerRegistry::reportTimeout).empty());
    BOOST_TEST(book.reachableCount(start + PeerRegistry::reportTimeout) == 1U);
}

BOOST_AUTO_TEST_CASE(reportsOfARestartedEntryAreAccepted)
{
    PeerRegistry book("me");
    EntryLoad load;
    load.name = "a";
    load.incarnation = 1;
    load.sequence = 900;
    book.handleReport(load, start);
    load.incarnation = 2;
    load.sequence = 1;
    BOOST_TEST(book.handleReport(load, start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UpstreamDirectorySuite)

BOOST_AUTO_TEST_CASE(removedEntriesAreDroppedAtOnceWhileTheStoreIsAvailable)
{
    UpstreamDirectory directory;
    directory.storeAnswered(start);
    directory.put({.id = "a"});
    directory.remove("a", start);
    BOOST_TEST(directory.usable(start).empty());
}

BOOST_AUTO_TEST_CASE(entriesThatExpiredInAnOutageHaveTimeToReturn)
{
    UpstreamDirectory directory;
    directory.put({.id = "a"});
    directory.put({.id = "b"});
    directory.storeAnswered(start);
    directory.storeFailed(start + seconds(1));
    directory.storeAnswered(start + seconds(5));
    directory.replace({{.id = "b"}}, start + seconds(5));
    BOOST_TEST(directory.usable(start + seconds(6)).size() == 2U);
    const TimePoint over = start + seconds(5) + UpstreamDirectory::recoveryGrace;
    BOOST_TEST((directory.nextExpiry().value() == over));
    BOOST_TEST(directory.usable(over).size() == 1U);
    directory.storeAnswered(over);
    directory.remove("b", over + seconds(1));
    BOOST_TEST(directory.usable(over + seconds(1)).empty());
}

// Other entries have read the store meanwhile, so that no entry can have expired.
BOOST_AUTO_TEST_CASE(removedEntriesAreDroppedAtOnceIfTheStoreAnsweredOthers)
{
    UpstreamDirectory directory;
    directory.put({.id = "a"});
    for (int tenths = 0; tenths <= 50; tenths += 20) {
        directory.storeAnswered(start + milliseconds(100) * tenths);
        directory.storeFailed(start + milliseconds(100) * (tenths + 5));
    }
    directory.storeAnswered(start + seconds(5));
    directory.remove("a", start + seconds(5));
    BOOST_TEST(directory.usable(start + seconds(5)).empty());
}

// The entry relied on others, which ended.
BOOST_AUTO_TEST_CASE(removedEntriesAreDroppedAtOnceIfNobodyAskedTheStore)
{
    UpstreamDirectory directory;
    directory.put({.id = "a"});
    directory.storeFailed(start);
    directory.storeAnswered(start + seconds(1));
    directory.storeAnswered(start + seconds(6));
    directory.remove("a", start + seconds(6));
    BOOST_TEST(directory.usable(start + seconds(6)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EngineTimeModelSuite)

BOOST_AUTO_TEST_CASE(learnsEngineSpeedsAndPromptCosts)
{
    EngineTimeModel model;
    double fast = 1;
    double slow = 1;
    for (std::uint32_t i = 0; i < 2000; ++i) {
        const std::uint32_t tokens = 100 + (i * 7919) % 8000;
        const auto took = [&](double factor) {
            return std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(factor * (80 + 0.02 * tokens)));
        };
        fast = model.learn(fast, tokens, took(0.5));
        slow = model.learn(slow, tokens, took(2.0));
    }
    BOOST_TEST(std::abs(slow / fast - 4) < 0.4);
    const auto predicted = std::chrono::duration<double, std::milli>(model.predict(slow, 5000));
    BOOST_TEST(std::abs(predicted.count() - 360) < 40);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WaitPolicySuite)

BOOST_AUTO_TEST_CASE(firstAttemptsAreRefusedInTimeForARetry)
{
    WaitFacts first;
    first.now = start;
    first.objective = milliseconds(500);
    first.pauseBound = milliseconds(200);
    first.stream = true;
    first.timeLeft = milliseconds(5000);
    BOOST_TEST((refusalTime(first) <= start + milliseconds(500)));
    WaitFacts returned = first;
    returned.elapsed = milliseconds(400);
    BOOST_TEST((refusalTime(returned) > refusalTime(first)));
    BOOST_TEST((refusalTime(returned) < start + returned.timeLeft));
}

// Most requests of the lowest tier were queued until their clients gave up.
BOOST_AUTO_TEST_CASE(streamsAreRefusedBeforeTheirClientsGiveUp)
{
    WaitFacts facts;
    facts.now = start;
    facts.objective = milliseconds(1000);
    facts.pauseBound = milliseconds(250);
    facts.stream = true;
    facts.timeLeft = milliseconds(14000);
    facts.elapsed = milliseconds(900);
    const Duration patience = clientIdleTimeout(facts.objective, facts.pauseBound);
    BOOST_TEST((patience == milliseconds(4000)));
    BOOST_TEST((refusalTime(facts) <= start + patience * 3 / 4));
}

BOOST_AUTO_TEST_CASE(laterAttemptsAreRecognisedByTheirDeadline)
{
    AttemptAgeEstimator age;
    BOOST_TEST((age.learn("r", milliseconds(5000)) == Duration::zero()));
    const Duration returned = age.learn("r", milliseconds(3500));
    BOOST_TEST((returned > milliseconds(1000) && returned <= milliseconds(1500)));
    BOOST_TEST((age.learn("other", milliseconds(800)) == Duration::zero()));
}

// Deadlines of different clients vary by 15 %, and four out of five first attempts were taken for
// retries.
BOOST_AUTO_TEST_CASE(firstAttemptsWithDifferentDeadlinesAreNotTakenForRetries)
{
    AttemptAgeEstimator age;
    age.learn("r", milliseconds(5375));
    for (int deadline = 4625; deadline <= 5375; deadline += 50)
        BOOST_TEST((age.learn("r", milliseconds(deadline)) == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()
