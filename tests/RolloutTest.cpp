#include "base/Hash.h"
#include "serving/RolloutControl.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

constexpr milliseconds step{10};
constexpr milliseconds tickEvery{100};
constexpr std::size_t formerUpstreams = 40;
constexpr std::size_t watchedUpstreams = 3;
constexpr RolloutBounds bounds{0.1, 50, milliseconds(5000)};

/// One request as its upstream sees it.
struct Run
{
    BootTime sinceOrder{};
    std::uint8_t kind = 0;
    std::uint64_t number = 0;
    /// Few upstreams share the new version's requests, so that they are as busy as the others.
    bool underLoad = true;
};
enum class Quality : std::uint8_t { Good, Failed, Slow };
using Behaviour = std::function<Quality(const Run &)>;

/// A draw that does not follow the order of the entries.
bool draws(std::uint64_t number, std::uint64_t outOf100)
{
    return mixBits(number, 7) % 100 < outOf100;
}

/// Entries that decide on one service, its store and the answers of two versions, without a
/// network: reports arrive with the next tick.
struct RolloutFleet
{
    struct Entry
    {
        std::optional<RolloutControl> control{bounds};
        std::uint64_t incarnation = 0;
        bool storeCut = false;
        bool peersCut = false;
        bool frozen = false;
    };

    explicit RolloutFleet(std::size_t count)
        : entries(count)
    {
        for (Entry &entry : entries)
            entry.incarnation = ++processes;
        listVersions({"v1"});
        readOrders();
    }

    void order(const std::string &to, milliseconds duration)
    {
        now += step;
        stored = RolloutOrder{
            "models", "models", to, duration, ++revision, revision, RolloutState::Ordered};
        orderedAt = now;
        listVersions({"v1", to});
    }

    void listVersions(std::set<std::string> versions)
    {
        listed = std::move(versions);
        for (Entry &entry : entries)
            entry.control->setVersions({{"models", listed}}, now);
    }

    void readOrders()
    {
        for (Entry &entry : entries)
            read(entry);
    }

    void read(Entry &entry) const
    {
        const std::vector<RolloutOrder> orders =
            stored ? std::vector{*stored} : std::vector<RolloutOrder>();
        if (!entry.storeCut && !entry.frozen && !storeAway)
            entry.control->applyOrders(orders, now, now);
    }

    void restart(Entry &entry)
    {
        entry.control.emplace(bounds);
        entry.incarnation = ++processes;
        entry.control->setVersions({{"models", listed}}, now);
    }

    void write(const RolloutStatusDue &due)
    {
        ++writes;
        if (!stored || stored->revision != due.order.revision)
            return;
        stored->state = due.state;
        stored->revision = ++revision;
        if (isFinal(due.state) && !finishedAt)
            finishedAt = now;
    }

    void tick()
    {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            Entry &entry = entries[i];
            if (entry.frozen)
                continue;
            RolloutFleetView view;
            view.reachableShare = entry.peersCut ? 0.05 : 1;
            if (i < writers)
                view.writerRank = simultaneousWriters ? 0 : i;
            entry.control->tick(view, now);
            view.formerIdle = {"models"};
            if (const auto due = entry.control->statusDue(view, now);
                due && !entry.storeCut && !storeAway) {
                write(*due);
                if (!losesAnswers)
                    read(entry);
            }
            // The followers watch the store.
            if (i < 3 || entry.control->needsRead(now))
                read(entry);
            for (Entry &other : entries)
                if (&other != &entry && !other.frozen && !other.peersCut && !entry.peersCut)
                    for (const RolloutReport &report : entry.control->reports(now))
                        other.control->applyReport(entry.incarnation, report, now);
        }
    }

    void send(Entry &entry, const Behaviour &behaviour)
    {
        const Run run{now - orderedAt, static_cast<std::uint8_t>(mixBits(requests, 3) % 5),
                      requests};
        ++requests;
        const auto withheld = entry.control->withheldVersions("models", now);
        const std::string to = stored ? stored->to : lastTo;
        const bool isTurn = entry.control->takeTurn("models", now);
        const bool mayUseNew = listed.contains(to) && !withheld.contains(to);
        const bool mayUseFormer = listed.contains("v1") && !withheld.contains("v1");
        // Without an order for it, half of the requests go to either side.
        const bool isNew = isTurn || (mayUseNew && (!mayUseFormer || run.number % 2 == 0));
        const std::string version = isNew ? to : "v1";
        if ((!isNew && !mayUseFormer) || !entry.control->maySend("models", version, now))
            return;
        ++sent;
        entry.control->countSend("models", version, isTurn);
        const Quality quality =
            isNew ? behaviour(run) : (draws(run.number, 2) ? Quality::Failed : Quality::Good);
        const std::uint64_t upstream =
            mixBits(run.number, 5) % (isNew ? watchedUpstreams : formerUpstreams);
        if (isNew) {
            ++sentNew;
            lastNewAt = now;
            bad += quality == Quality::Good ? 0 : 1;
            if (bad == 50 && quality != Quality::Good)
                fiftiethBadAt = now;
        }
        entry.control->recordAnswer({"models", version, run.kind, upstream,
                                     quality == Quality::Failed, quality == Quality::Slow});
    }

    void run(milliseconds duration, const Behaviour &behaviour)
    {
        const BootTime end = now + duration;
        for (; now < end; now += step) {
            if ((now / step) % (tickEvery / step) == 0)
                tick();
            for (int i = 0; i < 5; ++i) {
                Entry &entry = entries[mixBits(++picks, 11) % entries.size()];
                if (!entry.frozen)
                    send(entry, behaviour);
            }
        }
    }

    void checkExposure() const
    {
        BOOST_TEST(static_cast<double>(sentNew)
                   <= bounds.exposeShare * static_cast<double>(sent) + bounds.exposeSlack);
        if (fiftiethBadAt)
            BOOST_TEST((lastNewAt <= *fiftiethBadAt + bounds.rollback));
    }

    std::vector<Entry> entries;
    std::optional<RolloutOrder> stored;
    std::string lastTo = "v2";
    std::set<std::string> listed;
    std::uint64_t revision = 10;
    std::uint64_t processes = 0;
    std::size_t writers = 3;
    bool simultaneousWriters = false;
    bool losesAnswers = false;
    bool storeAway = false;
    BootTime now{seconds(1000)};
    BootTime orderedAt{};
    std::optional<BootTime> finishedAt;
    std::uint64_t picks = 0;
    std::uint64_t requests = 0;
    std::uint64_t sent = 0;
    std::uint64_t sentNew = 0;
    std::uint64_t bad = 0;
    BootTime lastNewAt{};
    std::optional<BootTime> fiftiethBadAt;
    int writes = 0;
};

Quality goodAnswer(const Run &)
{
    return Quality::Good;
}

Quality halfFails(const Run &run)
{
    return draws(run.number, 45) ? Quality::Failed : Quality::Good;
}

Quality slowUnderLoad(const Run &run)
{
    return run.underLoad && draws(run.number, 60) ? Quality::Slow : Quality::Good;
}

Quality oneKindFails(const Run &run)
{
    return run.kind == 3 && draws(run.number, 80) ? Quality::Failed : Quality::Good;
}

Quality failsLate(const Run &run)
{
    return run.sinceOrder > seconds(5) ? halfFails(run) : Quality::Good;
}

constexpr seconds duration{14};
const std::array<Behaviour, 4> badVersions{halfFails, slowUnderLoad, oneKindFails, failsLate};

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutTest)

BOOST_AUTO_TEST_CASE(TurnsBackEveryKindOfBadVersion)
{
    for (const Behaviour &behaviour : badVersions) {
        RolloutFleet fleet(20);
        fleet.order("v2", duration);
        fleet.run(duration, behaviour);
        fleet.checkExposure();
        BOOST_TEST((fleet.stored->state == RolloutState::RolledBack));
        BOOST_TEST(fleet.bad < 60);
    }
}

BOOST_AUTO_TEST_CASE(CompletesAGoodVersionInTime)
{
    RolloutFleet fleet(20);
    fleet.order("v2", duration);
    fleet.run(duration / 2, goodAnswer);
    fleet.checkExposure();
    BOOST_TEST(fleet.sentNew > 50);
    BOOST_TEST(!fleet.finishedAt.has_value());
    fleet.run(duration / 2, goodAnswer);
    BOOST_TEST((fleet.stored->state == RolloutState::Completed));
    const std::uint64_t formerSent = fleet.sent - fleet.sentNew;
    fleet.run(seconds(1), goodAnswer);
    BOOST_TEST(fleet.sent - fleet.sentNew == formerSent);
}

BOOST_AUTO_TEST_CASE(OneFaultyUpstreamIsNotTheVersion)
{
    RolloutJudge judge;
    RolloutEvidence evidence;
    evidence.tallies = {{false, 0, 2000, 40, 0}, {true, 0, 60, 20, 0}};
    evidence.failedUpstreams = 1;
    judge.apply(1, evidence);
    BOOST_TEST(!judge.isBad(seconds(1)));
    evidence.failedUpstreams = 3;
    judge.apply(1, evidence);
    BOOST_TEST(judge.isBad(seconds(1)));
}

BOOST_AUTO_TEST_CASE(FaultsOfBothVersionsAreNotTheNewOnes)
{
    RolloutFleet fleet(20);
    RolloutJudge judge;
    RolloutEvidence evidence;
    evidence.failedUpstreams = 7;
    evidence.slowUpstreams = 7;
    for (std::uint32_t i = 1; i < 100; ++i) {
        evidence.tallies = {{false, 0, 50 * i, 15 * i, 20 * i}, {true, 0, 3 * i, i, i}};
        judge.apply(1, evidence);
        judge.apply(1, evidence);
        BOOST_TEST(!judge.isBad(milliseconds(100) * i));
    }
    BOOST_TEST(judge.total(true).answers == 3 * 99);
}

BOOST_AUTO_TEST_CASE(ReleaseWithoutOrderIsServed)
{
    RolloutControl control(bounds);
    control.setVersions({{"models", {"v1"}}}, seconds(1));
    control.applyOrders({}, seconds(1), seconds(1));
    control.setVersions({{"models", {"v1", "v2"}}}, seconds(5));
    BOOST_TEST(control.needsRead(seconds(5)));
    BOOST_TEST(control.withheldVersions("models", seconds(5)).contains("v2"));
    // The call began before the version was listed.
    control.applyOrders({}, seconds(4), seconds(6));
    BOOST_TEST(control.withheldVersions("models", seconds(6)).contains("v2"));
    control.applyOrders({}, seconds(5), seconds(6));
    BOOST_TEST(control.withheldVersions("models", seconds(6)).empty());
    BOOST_TEST(!control.needsRead(seconds(60)));
}

BOOST_AUTO_TEST_CASE(ChangedAndWithdrawnOrders)
{
    RolloutFleet fleet(20);
    fleet.order("v2", duration);
    fleet.run(seconds(4), goodAnswer);
    const std::uint64_t before = fleet.sentNew;
    BOOST_TEST(before > 0);
    fleet.stored.reset();
    fleet.run(seconds(3), goodAnswer);
    // Entries other than followers learn of it when their proof is old.
    BOOST_TEST(fleet.sentNew - before < 100);
    const std::uint64_t withdrawn = fleet.sentNew;
    fleet.run(seconds(3), goodAnswer);
    BOOST_TEST(fleet.sentNew == withdrawn);
    fleet.order("v3", duration);
    fleet.listVersions({"v1", "v2", "v3"});
    fleet.run(duration, halfFails);
    BOOST_TEST((fleet.stored->state == RolloutState::RolledBack));
    BOOST_TEST(fleet.stored->to == "v3");
    fleet.checkExposure();
}

BOOST_AUTO_TEST_CASE(OrderWithoutUpstreamsIsRolledBack)
{
    RolloutFleet fleet(20);
    fleet.order("v2", duration);
    fleet.listVersions({"v1"});
    fleet.run(duration, goodAnswer);
    BOOST_TEST((fleet.stored->state == RolloutState::RolledBack));
    BOOST_TEST(fleet.sentNew == 0);
    BOOST_TEST(fleet.sent == fleet.requests);
}

BOOST_AUTO_TEST_CASE(AllEntriesKilled)
{
    for (const Behaviour &behaviour : badVersions) {
        RolloutFleet fleet(20);
        fleet.order("v2", duration);
        for (int i = 0; i < 3; ++i) {
            fleet.run(milliseconds(900), behaviour);
            for (RolloutFleet::Entry &entry : fleet.entries)
                fleet.restart(entry);
        }
        fleet.run(duration - milliseconds(2700), behaviour);
        fleet.checkExposure();
        BOOST_TEST((fleet.stored->state == RolloutState::RolledBack));
    }
}

BOOST_AUTO_TEST_CASE(RestartedWithoutTheStoreGivesTheNewVersionNothing)
{
    RolloutFleet fleet(20);
    fleet.order("v2", duration);
    fleet.run(seconds(1), goodAnswer);
    fleet.storeAway = true;
    for (RolloutFleet::Entry &entry : fleet.entries)
        fleet.restart(entry);
    const std::uint64_t before = fleet.sentNew;
    fleet.run(seconds(3), goodAnswer);
    BOOST_TEST(fleet.sentNew == before);
}

BOOST_AUTO_TEST_CASE(EntryCutOffAllAlong)
{
    for (const Behaviour &behaviour : badVersions) {
        RolloutFleet fleet(20);
        fleet.entries[0].storeCut = true;
        fleet.entries[0].peersCut = true;
        fleet.entries[7].peersCut = true;
        fleet.order("v2", duration);
        fleet.run(duration, behaviour);
        fleet.checkExposure();
        BOOST_TEST((fleet.stored->state == RolloutState::RolledBack));
    }
}

BOOST_AUTO_TEST_CASE(FrozenEntriesReadBeforeTheySend)
{
    RolloutFleet fleet(20);
    fleet.order("v2", duration);
    fleet.run(seconds(2), goodAnswer);
    for (std::size_t i = 3; i < 13; ++i)
        fleet.entries[i].frozen = true;
    fleet.run(seconds(4), halfFails);
    BOOST_TEST((fleet.stored->state == RolloutState::RolledBack));
    for (RolloutFleet::Entry &entry : fleet.entries) {
        BOOST_TEST(!(entry.frozen && entry.control->takeTurn("models", fleet.now)));
        // What the others reported before is delivered late.
        for (const RolloutReport &report : fleet.entries[15].control->reports(fleet.now)) {
            RolloutReport old = report;
            old.verdict = RolloutVerdict::Good;
            old.evidence = {};
            if (entry.frozen)
                entry.control->applyReport(99, old, fleet.now);
        }
        BOOST_TEST(!(entry.frozen && entry.control->takeTurn("models", fleet.now)));
        entry.frozen = false;
    }
    const std::uint64_t before = fleet.sentNew;
    fleet.run(seconds(4), halfFails);
    BOOST_TEST(fleet.sentNew == before);
    fleet.checkExposure();
}

BOOST_AUTO_TEST_CASE(TwoWritersAndLostAnswers)
{
    RolloutFleet fleet(20);
    fleet.simultaneousWriters = true;
    fleet.losesAnswers = true;
    fleet.order("v2", duration);
    fleet.run(duration, halfFails);
    BOOST_TEST((fleet.stored->state == RolloutState::RolledBack));
    // `running` and the verdict, each at most once a writer.
    BOOST_TEST(fleet.writes <= 6);
    fleet.checkExposure();
}

BOOST_AUTO_TEST_CASE(SilentWriterIsReplaced)
{
    RolloutFleet fleet(20);
    fleet.entries[0].storeCut = true;
    fleet.entries[1].frozen = true;
    fleet.order("v2", duration);
    fleet.run(duration, goodAnswer);
    BOOST_TEST((fleet.stored->state == RolloutState::Completed));
}

BOOST_AUTO_TEST_CASE(RestoredStoreGetsTheVerdictAgain)
{
    RolloutFleet fleet(20);
    fleet.order("v2", duration);
    const RolloutOrder copy = *fleet.stored;
    fleet.run(seconds(5), halfFails);
    BOOST_REQUIRE((fleet.stored->state == RolloutState::RolledBack));
    const std::uint64_t before = fleet.sentNew;
    fleet.stored = copy;
    fleet.readOrders();
    fleet.run(seconds(3), halfFails);
    BOOST_TEST((fleet.stored->state == RolloutState::RolledBack));
    BOOST_TEST(fleet.sentNew == before);
}

BOOST_AUTO_TEST_SUITE_END()
