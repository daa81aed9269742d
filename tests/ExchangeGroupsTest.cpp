#include "fleet/ExchangeGroups.h"

#include "base/Hash.h"
#include "fleet/FarQuota.h"
#include "fleet/FarReports.h"
#include "fleet/GroupDigest.h"
#include "peer/EntryMessageCodec.h"
#include "process/Timers.h"
#include "serving/PeerRegistry.h"
#include "serving/QueuedRequest.h"
#include "serving/UpstreamChooser.h"
#include "serving/UpstreamTable.h"

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <random>
#include <utility>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

const std::string key = "0123456789abcdef";

std::string nameOf(int i)
{
    return "entry-" + std::to_string(i);
}

std::set<std::string> namesUpTo(int count)
{
    std::set<std::string> names;
    for (int i = 0; i < count; ++i)
        names.insert(nameOf(i));
    return names;
}

std::map<std::string, std::size_t> groupsOf(const std::set<std::string> &names)
{
    std::map<std::string, std::size_t> groupOf;
    for (const std::string &name : names) {
        ExchangeGroups groups(name, {});
        groups.assignEntries(names);
        groupOf[name] = groups.ownGroup();
    }
    return groupOf;
}

std::vector<UpstreamRecord> upstreamRecords(const std::string &service, int count)
{
    std::vector<UpstreamRecord> records;
    for (int i = 0; i < count; ++i) {
        UpstreamRecord record;
        record.id = service + std::to_string(i);
        record.service = service;
        record.dataCentre = i % 3 == 0 ? "north" : "south";
        record.slots = 5;
        record.born = 1;
        records.push_back(record);
    }
    return records;
}

EntryLoad reportOf(int i, std::uint64_t sequence)
{
    EntryLoad load;
    load.name = nameOf(i);
    load.incarnation = static_cast<Incarnation>(i + 1);
    load.sequence = sequence;
    return load;
}

/// A group of entries that tell an observer in another group by digests who is alive, over links
/// that lose messages. Advances in steps of the interval between digests.
struct DistantGroup
{
    static constexpr int size = 30;
    static constexpr milliseconds step{400};

    DistantGroup()
    {
        for (int i = 0; i < size; ++i)
            observer.handleReport(reportOf(i, 1), now);
    }

    bool isLost() { return std::uniform_int_distribution(0, 9)(random) == 0; }

    /// Each member hears those that `hears` allows; those that `tells` allows reach the observer.
    template <typename Hears, typename Tells>
    void runFor(Duration time, Hears hears, Tells tells)
    {
        for (const TimePoint end = now + time; now < end;) {
            now += step;
            ++round;
            ++sequence;
            for (int i = 0; i < size; ++i)
                for (int j = 0; j < size; ++j)
                    if (i != j && hears(i, j) && !isLost())
                        members[i].handleReport(reportOf(j, sequence), now - milliseconds(100));
            for (int i = 0; i < size; ++i) {
                if (!tells(i) || isLost()
                    || !isTeller(static_cast<std::size_t>(i), size, "observer", round))
                    continue;
                GroupDigest digest{static_cast<Incarnation>(i + 1),
                                   members[i].heard([](const std::string &) { return true; }, now)};
                digest.heard.push_back({digest.teller, milliseconds(0)});
                last = digest;
                observer.handleDigest(digest, now);
            }
            // Reports of the members to other groups, once in a while.
            if (sequence % 10 == 0)
                for (int i = 0; i < size; ++i)
                    if (tells(i) && !isLost())
                        observer.handleReport(reportOf(i, sequence), now);
            least = std::min(least, observer.reachableCount(now) - 1);
        }
    }

    std::mt19937_64 random{7};
    TimePoint now = TimePoint{} + seconds(100);
    std::size_t round = 0;
    std::uint64_t sequence = 1;
    std::size_t least = size;
    PeerRegistry observer{"observer"};
    std::deque<PeerRegistry> members = std::deque<PeerRegistry>(size, PeerRegistry("member"));
    GroupDigest last;
};

/// Report of an entry with some 20 requests/s of 8 workspaces, among as many workspaces as entries.
EntryLoad busyReport(std::uint64_t step, int entries)
{
    EntryLoad load = reportOf(1, step);
    load.dataCentre = "north";
    load.configVersion = 17;
    for (std::uint64_t i = 0; i < 5; ++i)
        load.loads.emplace_back(mixBits(i, 1), UpstreamLoad{2, 700});
    for (int rank = 0; rank < 3; ++rank)
        load.demand.push_back({"models", queueRank(0, rank), 2, 3, 0});
    for (int i = 0; i < entries; ++i) {
        const bool used = i % (entries / 8) == 0;
        const auto sent = used ? (step + static_cast<std::uint64_t>(i)) / 8 * 731 : 0;
        load.quotas.push_back({"workspace-" + std::to_string(i + 1000), static_cast<double>(sent),
                               used && i % 16 == 0 ? 731.0 : 0});
    }
    return load;
}

/// Computed bytes a second that an entry sends, payloads only, once it has told all quotas at its
/// start.
double bytesPerSecond(int entries, GroupBounds bounds)
{
    ExchangeGroups groups(nameOf(1), bounds);
    groups.assignEntries(namesUpTo(entries));
    const auto members = static_cast<double>(groups.size() - 1);
    const double strangers = entries - 1 - members;
    const auto interval = milliseconds(10) * (1 + (groups.size() - 1) / 4);
    constexpr seconds time{32};
    constexpr seconds start{8};
    double bytes = 0;
    FarReports far;
    std::vector<QuotaUse> told;
    std::vector<QuotaUse> former;
    TimePoint allAt{};
    const TimePoint begin = TimePoint{} + seconds(100);
    for (TimePoint now = begin; now < begin + start + time; now += interval) {
        if (now - interval < begin + start)
            bytes = 0;
        EntryLoad load =
            busyReport(static_cast<std::uint64_t>((now - begin) / milliseconds(50)), entries);
        if (strangers > 0 && far.isDue({}, false, false, now))
            bytes += strangers
                     * static_cast<double>(sealMessage(far.makeReport(load, {}, now), key).size());
        const std::vector<QuotaUse> uses = load.quotas;
        const Duration wholeInterval =
            strangers > 0 ? Duration(FarReports::fullInterval) : Duration(milliseconds(250));
        if (now - allAt < wholeInterval)
            load.quotas = changedUses(strangers > 0 ? former : told, load.quotas);
        else if (allAt = now; strangers > 0)
            load.quotas = usesNotAtRest(std::move(load.quotas));
        former = std::exchange(told, uses);
        bytes += members * static_cast<double>(sealMessage(load, key).size());
    }
    GroupDigest digest;
    for (std::size_t i = 0; i < groups.size(); ++i)
        digest.heard.push_back({mixBits(i, 3), milliseconds(100 + i)});
    double digests = 0;
    for (std::size_t round = 0; round < 80; ++round)
        for (int i = 0; i < entries; ++i)
            if (strangers > 0 && !groups.isMember(nameOf(i))
                && isTeller(groups.ownPosition(), groups.size(), nameOf(i), round))
                digests += static_cast<double>(sealMessage(digest, key).size());
    return (bytes + digests) / static_cast<double>(time.count());
}

/// Entries of ten groups that admit a workspace's requests as fast as its quota lets them, over
/// links that lose messages. Members hear each other every 30 ms.
struct QuotaFleet
{
    static constexpr int groups = 10;
    static constexpr int size = 10;
    static constexpr double rate = 1000;
    static constexpr milliseconds step{10};

    struct Entry
    {
        QuotaLedger ledger;
        FarReports far;
        std::vector<QuotaUse> told;
    };

    QuotaFleet()
    {
        ServingConfig config;
        Workspace workspace;
        workspace.name = "w";
        workspace.rate = rate;
        workspace.burst = rate;
        config.workspaces.push_back(workspace);
        for (Entry &entry : entries) {
            entry.ledger.configure(config, now);
            entry.ledger.setReportingShare(farQuotaShare, now);
        }
    }

    bool isLost() { return std::uniform_int_distribution(0, 99)(random) < lossPercent; }

    void tell(std::size_t from, const std::vector<QuotaUse> &uses, bool toOwnGroup)
    {
        for (std::size_t to = 0; to < entries.size(); ++to)
            if (to != from && (to / size == from / size) == toOwnGroup && !isLost())
                entries[to].ledger.applyReport(from + 1, uses, now);
    }

    /// Each entry asks for `perSecond` units in requests of 10.
    void runFor(Duration time, double perSecond)
    {
        for (const TimePoint end = now + time; now < end; now += step, ++steps) {
            for (std::size_t i = 0; i < entries.size(); ++i) {
                const double chance = perSecond / 10 * 0.01;
                const bool asks = std::uniform_real_distribution(0.0, 1.0)(random) < chance;
                if (asks && entries[i].ledger.tryReserve("w", 10, now)) {
                    entries[i].ledger.commit("w", 10, now);
                    sent.emplace_back(now, 10.0);
                }
                if ((steps + i) % 3 == 0)
                    tell(i, entries[i].ledger.uses(), true);
                if ((steps + i) % 10 == 0)
                    tellOthers(i);
            }
        }
    }

    void tellOthers(std::size_t i)
    {
        Entry &entry = entries[i];
        if (!entry.far.isDue({}, entry.ledger.mustTell(groups), false, now))
            return;
        EntryLoad load;
        load.quotas = entry.ledger.uses();
        tell(i, entry.far.makeReport(load, {}, now).quotas, false);
        entry.ledger.markTold();
        ++reports;
    }

    /// Most units sent in any 8 s.
    double mostInWindow() const
    {
        double most = 0;
        double sum = 0;
        for (auto first = sent.begin(), last = sent.begin(); last != sent.end(); ++last) {
            sum += last->second;
            for (; last->first - first->first >= seconds(8); ++first)
                sum -= first->second;
            most = std::max(most, sum);
        }
        return most;
    }

    std::mt19937_64 random{11};
    int lossPercent = 0;
    TimePoint now = TimePoint{} + seconds(100);
    std::size_t steps = 0;
    std::size_t reports = 0;
    std::vector<Entry> entries = std::vector<Entry>(groups * size);
    std::vector<std::pair<TimePoint, double>> sent;
};

constexpr auto all = [](auto...) { return true; };

} // namespace

BOOST_AUTO_TEST_SUITE(ExchangeGroupsSuite)

BOOST_AUTO_TEST_CASE(smallFleetsAreOneGroup)
{
    ExchangeGroups groups("entry-0", {});
    groups.assignEntries(namesUpTo(32));
    BOOST_TEST(groups.count() == 1U);
    BOOST_TEST(groups.isMember("entry-31"));
    BOOST_TEST(groups.isMember("not listed yet"));
    groups.assignEntries(namesUpTo(33));
    BOOST_TEST(groups.count() == 2U);
    BOOST_TEST((groups.size() == 16U || groups.size() == 17U));
    groups.assignEntries(namesUpTo(61));
    BOOST_TEST(groups.count() == 2U);
    ExchangeGroups never("entry-0", {0, 30});
    never.assignEntries(namesUpTo(300));
    BOOST_TEST(never.count() == 1U);
}

BOOST_AUTO_TEST_CASE(groupsAreEvenAndFewEntriesMove)
{
    const auto before = groupsOf(namesUpTo(303));
    std::map<std::size_t, int> sizes;
    for (const auto &[name, group] : before)
        ++sizes[group];
    BOOST_TEST(sizes.size() == 10U);
    for (const auto &[group, size] : sizes)
        BOOST_TEST((size == 30 || size == 31));
    // All compute the same division but those whose list has one entry more.
    const auto after = groupsOf(namesUpTo(304));
    const auto moved = std::ranges::count_if(
        before, [&](const auto &item) { return after.at(item.first) != item.second; });
    BOOST_TEST(moved <= 10);
}

BOOST_AUTO_TEST_CASE(upstreamsAreDividedEvenlyByDataCentre)
{
    std::vector<UpstreamRecord> records = upstreamRecords("models", 120);
    std::ranges::copy(upstreamRecords("small", 29), std::back_inserter(records));
    std::map<std::string, int> owners;
    for (std::size_t group = 0; group < 10; ++group) {
        UpstreamTable table;
        table.assign(records);
        BOOST_TEST(table.ofOwnGroup("models").size() == 120U);
        table.setGroups(10, group);
        BOOST_TEST(table.ofOwnGroup("models").size() == 12U);
        BOOST_TEST(table.ofOwnGroup("small").size() == 29U);
        const auto north =
            std::ranges::count_if(table.ofOwnGroup("models"), [](const UpstreamPtr &each) {
                return each->record.dataCentre == "north";
            });
        BOOST_TEST((north >= 3 && north <= 5));
        for (const UpstreamPtr &each : table.ofOwnGroup("models"))
            ++owners[each->record.id];
        BOOST_TEST(table.freePlaces("models", steadyNow()) <= 12 * 5 * 3);
    }
    BOOST_TEST(owners.size() == 120U);
    BOOST_TEST(std::ranges::all_of(owners, [](const auto &item) { return item.second == 1; }));
}

BOOST_AUTO_TEST_CASE(requestsLeaveTheGroupWhenNoUpstreamOfItSuits)
{
    UpstreamTable table;
    table.assign(upstreamRecords("models", 12));
    table.setGroups(2, 0);
    const UpstreamChooser chooser(table, "north");
    QueuedRequest request;
    request.service = "models";
    request.deadlineAt = request.objectiveAt = steadyNow() + seconds(9);
    for (int sent = 0; sent < 12; ++sent) {
        const UpstreamChoice choice =
            chooser.choose(request, UpstreamChooser::Pacing::Ignore, steadyNow());
        BOOST_REQUIRE(choice.upstream);
        BOOST_TEST(choice.upstream->foreign == (sent >= 6));
        request.excluded.push_back(choice.upstream->key);
    }
}

BOOST_AUTO_TEST_CASE(onlyTheGroupHoldsLimitsOfItsUpstreams)
{
    const std::vector<std::string> serving{"a", "b", "c", "d"};
    const std::vector<std::string> group{"a", "b"};
    for (const std::size_t own : {0U, 1U}) {
        UpstreamTable table;
        table.assign(upstreamRecords("models", 6));
        table.setGroups(2, own);
        double sum = 0;
        const TimePoint now = steadyNow();
        for (const UpstreamPtr &each : table.ofService("models"))
            each->terms.handleStatement(UpstreamStatement{2.0, false, std::nullopt, false}, now,
                                        now);
        for (const std::string &name : group) {
            table.shareLimits({name, serving}, {name, group});
            for (const UpstreamPtr &each : table.ofService("models")) {
                BOOST_TEST((!each->foreign || each->terms.share() == 0));
                sum += each->terms.share();
            }
        }
        BOOST_TEST(sum == 3 * 2.0);
    }
}

BOOST_AUTO_TEST_CASE(quotaHoldsOverAllGroups)
{
    for (const int loss : {0, 3, 20}) {
        QuotaFleet fleet;
        fleet.lossPercent = loss;
        // Little use fills the bucket; then 7.5 times the rate comes at once.
        constexpr double share = QuotaFleet::rate / (QuotaFleet::groups * QuotaFleet::size);
        fleet.runFor(seconds(20), share * 0.3);
        fleet.runFor(seconds(20), share * 7.5);
        const double most = fleet.mostInWindow();
        BOOST_TEST_MESSAGE("loss " << loss << " %: " << most << " units in 8 s, " << fleet.reports
                                   << " far reports of 100 entries in 40 s");
        BOOST_TEST(most <= QuotaFleet::rate * 9);
        BOOST_TEST(most > QuotaFleet::rate * 7);
    }
}

BOOST_AUTO_TEST_CASE(digestsKeepAGroupReachableUnderLoss)
{
    DistantGroup group;
    group.runFor(seconds(120), all, all);
    BOOST_TEST(group.least == 30U);
}

BOOST_AUTO_TEST_CASE(frozenTellerIsReplacedAndItsOldDigestRevivesNobody)
{
    DistantGroup group;
    group.runFor(seconds(4), all, all);
    const auto runs = [](int i, auto...) { return i % 3 != 0; };
    group.runFor(
        seconds(1), [&](int i, int j) { return runs(i) && runs(j); }, runs);
    group.least = 30;
    group.runFor(
        seconds(4), [&](int i, int j) { return runs(i) && runs(j); }, runs);
    BOOST_TEST(group.least == 20U);
    BOOST_TEST(group.observer.reachableCount(group.now) == 21U);
    // A member that was frozen knows how old its reports are.
    GroupDigest late{1, {}};
    for (int i = 0; i < 30; i += 3)
        late.heard.push_back({static_cast<Incarnation>(i + 1), milliseconds(5000)});
    group.observer.handleDigest(late, group.now);
    BOOST_TEST(group.observer.reachableCount(group.now) == 21U);
}

BOOST_AUTO_TEST_CASE(cutDataCentreIsUnreachableWithinTheReportTimeout)
{
    DistantGroup group;
    group.runFor(seconds(4), all, all);
    // Members below 10 are cut from the observer and from the others of their group.
    const auto sameSide = [](int i, int j) { return (i < 10) == (j < 10); };
    group.runFor(milliseconds(1200), sameSide, [](int i) { return i >= 10; });
    BOOST_TEST(group.observer.reachableCount(group.now) == 21U);
    group.runFor(seconds(2), all, all);
    BOOST_TEST(group.observer.reachableCount(group.now) == 31U);
}

BOOST_AUTO_TEST_CASE(entryWhoseReportsAreLostIsUnreachableWhateverDigestsSay)
{
    DistantGroup group;
    group.runFor(seconds(4), all, all);
    group.now += PeerRegistry::farReportTimeout;
    group.observer.handleDigest({1, {{2, milliseconds(0)}}}, group.now);
    BOOST_TEST(group.observer.reachableCount(group.now) == 1U);
    BOOST_TEST(group.observer.handleDigest({1, {{999, milliseconds(0)}}}, group.now) == 0U);
}

BOOST_AUTO_TEST_CASE(oddDigestsAreRefused)
{
    GroupDigest digest{7, {{8, milliseconds(9)}, {10, milliseconds(70'000)}}};
    const auto opened = openMessage(sealMessage(digest, key), key);
    digest.heard.back().age = milliseconds(65'535);
    BOOST_REQUIRE(opened);
    BOOST_TEST((std::get<GroupDigest>(*opened) == digest));
    digest.heard.resize(mostHeardEntries + 1);
    BOOST_TEST(!openMessage(sealMessage(digest, key), key));
}

BOOST_AUTO_TEST_CASE(farReportsTellWhatIsUrgentSoonAndTheRestRarely)
{
    FarReports reports;
    FarReports::Urgent state;
    EntryLoad load = reportOf(1, 1);
    load.loads = {{1, {2, 3}}};
    load.demand = {{"models", 0, 1, 1, 0}};
    load.quotas = {{"a", 0, 0}, {"b", 0, 0}};
    TimePoint now = TimePoint{} + seconds(100);
    BOOST_TEST(reports.isDue(state, false, false, now));
    const EntryLoad first = reports.makeReport(load, state, now);
    BOOST_TEST(first.loads.empty());
    BOOST_TEST(first.demand.empty());
    BOOST_TEST(first.quotas.size() == 2U);
    now += FarReports::leastInterval;
    BOOST_TEST(!reports.isDue(state, false, false, now));
    BOOST_TEST(reports.isDue(state, true, false, now));
    state.leaving = true;
    BOOST_TEST(reports.isDue(state, false, false, now));
    // A change is in two reports.
    load.quotas[1].sent = 5;
    reports.makeReport(load, state, now);
    for (const std::size_t rows : {1U, 0U}) {
        now += FarReports::restInterval;
        BOOST_TEST(reports.isDue(state, false, false, now));
        BOOST_TEST(reports.makeReport(load, state, now).quotas.size() == rows);
    }
}

BOOST_AUTO_TEST_CASE(bytesOfAnEntryHardlyGrowWithTheFleet)
{
    const double at30 = bytesPerSecond(30, {});
    const double at100 = bytesPerSecond(100, {});
    const double at300 = bytesPerSecond(300, {});
    const double undivided = bytesPerSecond(300, {0, 30});
    BOOST_TEST_MESSAGE("bytes/s of an entry at 30, 100, 300: "
                       << at30 << ' ' << at100 << ' ' << at300 << "; undivided " << undivided);
    BOOST_TEST(at30 == bytesPerSecond(30, {0, 30}));
    BOOST_TEST(at300 < 1.5 * at100);
    BOOST_TEST(undivided > 3 * at300);
}

BOOST_AUTO_TEST_CASE(manyQuotasAreToldInTurns)
{
    std::vector<QuotaUse> all(15'000);
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i] = {"workspace-with-a-long-name-" + std::to_string(i + 10'000), 12345.678, 90.5};
    std::size_t first = 0;
    std::set<std::string> told;
    for (int i = 0; i < 15; ++i) {
        EntryLoad load = reportOf(1, 1);
        load.quotas = nextQuotaRows(all, first);
        BOOST_TEST(sealMessage(load, key).size() < 65'000U);
        for (const QuotaUse &use : load.quotas)
            told.insert(use.workspace);
    }
    BOOST_TEST(told.size() == all.size());
}

BOOST_AUTO_TEST_SUITE_END()
