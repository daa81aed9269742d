#include "direct/PeerExchange.h"

#include "base/Log.h"
#include "model/LoopbackListener.h"
#include "process/Timers.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace tamarack;

namespace {

constexpr double rate = 1000;

std::shared_ptr<const ServingConfig> configWithWorkspaces(int count)
{
    auto config = std::make_shared<ServingConfig>();
    config->version = 1;
    for (int i = 0; i < count; ++i) {
        Workspace workspace;
        workspace.name = "workspace-" + std::to_string(i);
        workspace.rate = rate;
        workspace.burst = rate;
        config->workspaces.push_back(std::move(workspace));
    }
    config->buildIndexes();
    return config;
}

/// The decision modules of an entry and its peer exchange, without a store or clients.
struct Entry
{
    Entry(boost::asio::io_context &context, const std::string &name,
          const std::shared_ptr<const ServingConfig> &config, GroupBounds groups = {})
        : state(settings(name, groups), context.get_executor(), metrics)
    {
        auto created = PeerExchange::makeExchange(state);
        BOOST_REQUIRE(created.has_value());
        exchange = std::move(*created);
        state.onLoadChanged = [this] { exchange->loadChanged(); };
        exchange->start();
        state.applyConfig(config);
        state.applyKnownEntries({"entry-a", "entry-b"});
    }

    static Settings settings(const std::string &name, GroupBounds groups)
    {
        Settings settings;
        settings.direct.groups = groups;
        settings.name = name;
        settings.peer = {"127.0.0.1", standin::freePort()};
        settings.peerKey = "0123456789abcdef";
        settings.direct.quotaWindow = milliseconds(8000);
        return settings;
    }

    Metrics metrics;
    TrafficState state;
    std::unique_ptr<PeerExchange> exchange;
};

struct Fixture
{
    Fixture()
    {
        setLogLevel("off");
        a.exchange->setPeers({{"entry-b", b.state.settings.peer}});
        b.exchange->setPeers({{"entry-a", a.state.settings.peer}});
        runFor(milliseconds(600));
    }

    void runFor(milliseconds time) { context.run_for(time); }

    boost::asio::io_context context;
    std::shared_ptr<const ServingConfig> config = configWithWorkspaces(64);
    Entry a{context, "entry-a", config};
    Entry b{context, "entry-b", config};
};

/// Eight entries in two groups.
struct GroupsFixture
{
    GroupsFixture()
    {
        setLogLevel("off");
        for (int i = 0; i < 8; ++i)
            entries.push_back(std::make_unique<Entry>(context, "entry-" + std::to_string(i), config,
                                                      GroupBounds{4, 4}));
        listAll();
        for (const auto &entry : entries) {
            const bool isMember = entries[0]->state.groups.isMember(entry->state.settings.name);
            (isMember ? members : strangers).push_back(entry.get());
        }
        runFor(milliseconds(1500));
    }

    /// Tells all entries who is listed.
    void listAll()
    {
        std::set<std::string> names;
        std::map<std::string, Endpoint> peers;
        for (const auto &entry : entries) {
            names.insert(entry->state.settings.name);
            peers.emplace(entry->state.settings.name, entry->state.settings.peer);
        }
        for (const auto &entry : entries) {
            auto others = peers;
            others.erase(entry->state.settings.name);
            entry->state.applyKnownEntries(names);
            entry->exchange->setPeers(others);
        }
    }

    void runFor(milliseconds time) { context.run_for(time); }

    boost::asio::io_context context;
    std::shared_ptr<const ServingConfig> config = configWithWorkspaces(64);
    std::vector<std::unique_ptr<Entry>> entries;
    /// Of the group of the first entry, and of the other one.
    std::vector<Entry *> members;
    std::vector<Entry *> strangers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerExchangeSuite, Fixture)

BOOST_AUTO_TEST_CASE(entriesReceiveEachOthersReports)
{
    BOOST_TEST(a.state.peers.reachableCount(steadyNow()) == 2U);
    BOOST_TEST(b.state.peers.reachableCount(steadyNow()) == 2U);
}

BOOST_AUTO_TEST_CASE(requestsAdmittedByOneEntryAreChargedAtTheOthers)
{
    for (const Workspace &workspace : config->workspaces)
        BOOST_REQUIRE(a.state.quotas.tryReserve(workspace.name, 1, steadyNow()));
    runFor(milliseconds(600));
    const std::int64_t before = b.state.quotas.level("workspace-3");
    const std::int64_t other = b.state.quotas.level("workspace-4");
    BOOST_REQUIRE(a.state.quotas.tryReserve("workspace-3", 5000, steadyNow()));
    runFor(milliseconds(600));
    BOOST_TEST(b.state.quotas.level("workspace-3") < before - 3000);
    BOOST_TEST(b.state.quotas.level("workspace-4") >= other);
}

BOOST_AUTO_TEST_CASE(onlyChangedQuotasAreSentBetweenHeartbeats)
{
    for (const Workspace &workspace : config->workspaces)
        BOOST_REQUIRE(a.state.quotas.tryReserve(workspace.name, 1, steadyNow()));
    runFor(milliseconds(600));
    const auto sent = [this] { return a.metrics.counter("tamarack_peer_bytes_sent_total", ""); };
    BOOST_TEST(a.state.ownLoad().quotas.size() == 64U);
    const auto before = sent();
    // Change the load every 12 ms, and one workspace's quota use every 24 ms.
    for (int i = 0; i < 40; ++i) {
        QueuedRequest request;
        request.ticket = a.state.nextTicket();
        request.service = "service";
        request.refuseAt = steadyNow() + std::chrono::seconds(5);
        a.state.enqueue(request, std::make_shared<QueueWait>(context.get_executor()));
        a.state.quotas.tryReserve("workspace-3", 1, steadyNow());
        runFor(milliseconds(12));
        a.state.abandon(request.ticket);
        runFor(milliseconds(12));
    }
    const auto bytes = sent() - before;
    // Four messages per second carry all 64 quotas, about 2 KB each; up to 80 others carry one.
    constexpr std::uint64_t mostBytes = 30'000;
    BOOST_TEST(bytes < mostBytes);
    BOOST_TEST(bytes > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(GroupExchangeSuite, GroupsFixture)

BOOST_AUTO_TEST_CASE(entriesOfOtherGroupsAreReachableBetweenTheirReports)
{
    BOOST_REQUIRE(members.size() == 4U);
    for (int i = 0; i < 6; ++i) {
        for (const auto &entry : entries)
            BOOST_TEST(entry->state.peers.reachableCount(steadyNow()) == 8U);
        runFor(milliseconds(300));
    }
}

BOOST_AUTO_TEST_CASE(loadsAndDemandStayInTheGroup)
{
    QueuedRequest request;
    request.ticket = entries[0]->state.nextTicket();
    request.service = "service";
    request.refuseAt = steadyNow() + std::chrono::seconds(9);
    entries[0]->state.enqueue(request, std::make_shared<QueueWait>(context.get_executor()));
    runFor(milliseconds(600));
    for (Entry *entry : members)
        if (entry != entries[0].get())
            BOOST_TEST(entry->state.peers.demand(steadyNow()).size() == 1U);
    for (Entry *entry : strangers)
        BOOST_TEST(entry->state.peers.demand(steadyNow()).empty());
}

BOOST_AUTO_TEST_CASE(useThatMayExhaustAQuotaIsToldToOtherGroupsAtOnce)
{
    for (const Workspace &workspace : config->workspaces)
        BOOST_REQUIRE(entries[0]->state.quotas.tryReserve(workspace.name, 1, steadyNow()));
    runFor(milliseconds(800));
    std::vector<std::int64_t> before;
    for (const auto &entry : entries)
        before.push_back(entry->state.quotas.level("workspace-3"));
    BOOST_REQUIRE(entries[0]->state.quotas.tryReserve("workspace-3", 5000, steadyNow()));
    runFor(milliseconds(500));
    for (std::size_t i = 0; i < entries.size(); ++i)
        BOOST_TEST(entries[i]->state.quotas.level("workspace-3") < before[i] - 3000);
}

BOOST_AUTO_TEST_CASE(plannedStopIsToldToOtherGroupsAtOnce)
{
    entries[0]->state.draining = true;
    entries[0]->exchange->loadChanged();
    runFor(milliseconds(400));
    for (Entry *entry : strangers) {
        const auto heard = entry->state.peers.reachableMembers(steadyNow());
        BOOST_TEST(std::ranges::count_if(heard, &FleetMember::leaving) == 1);
    }
}

BOOST_AUTO_TEST_CASE(entryThatJoinsHearsAllSoon)
{
    BOOST_REQUIRE(entries[0]->state.quotas.tryReserve("workspace-3", 5, steadyNow()));
    runFor(milliseconds(600));
    entries.push_back(std::make_unique<Entry>(context, "entry-8", config, GroupBounds{4, 4}));
    listAll();
    runFor(milliseconds(700));
    for (const auto &entry : entries)
        BOOST_TEST(entry->state.peers.reachableCount(steadyNow()) == 9U);
    // What was sent before it started may not count at it, what is sent from now on must.
    const std::int64_t before = entries[8]->state.quotas.level("workspace-3");
    BOOST_REQUIRE(entries[0]->state.quotas.tryReserve("workspace-3", 5000, steadyNow()));
    runFor(milliseconds(500));
    BOOST_TEST(entries[8]->state.quotas.level("workspace-3") < before - 3000);
}

BOOST_AUTO_TEST_SUITE_END()
