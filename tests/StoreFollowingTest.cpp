#include "base/Log.h"
#include "fleet/FollowerElection.h"
#include "model/LinkRelay.h"
#include "model/LoopbackListener.h"
#include "model/StoreServer.h"
#include "support/DirectEntry.h"
#include "support/Eventually.h"

#include <array>
#include <memory>
#include <thread>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::standin;
using tamarack::harness::DirectEntry;
using tamarack::harness::eventually;
using tamarack::harness::exchangeBytes;
using tamarack::harness::responseStatus;
namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::seconds;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t entryCount = 6;

/// Returns a configuration with one unauthenticated route, `/v<version>/`.
json::object configuration(int version)
{
    const std::string name = "v" + std::to_string(version);
    const json::object route{
        {"name", name},         {"host", "h.example"}, {"pathPrefix", "/" + name + "/"},
        {"kind", "idempotent"}, {"timeoutMs", 200},    {"targetLatencyMs", 100},
        {"priority", 0},        {"service", "models"}, {"maxAttempts", 1}};
    return {{"version", version},
            {"routes", json::array{route}},
            {"services", json::array{json::object{{"name", "models"}}}}};
}

std::string entryName(std::size_t number)
{
    return "entry-" + std::to_string(number);
}

/// Entries that share one store on loopback, each through a link of its own. By default they are in
/// one data centre.
struct Fleet
{
    struct Entry
    {
        std::unique_ptr<LinkRelay> link;
        DirectEntry direct;
    };

    explicit Fleet(bool configured = true, std::size_t dataCentreCount = 1)
    {
        setLogLevel("off");
        if (configured)
            put(1);
        for (std::size_t i = 0; i < entryCount; ++i)
            start(entries[i], entryName(i), "dc-" + std::to_string(i % dataCentreCount));
        serverThread = std::jthread([this] { serverContext.run(); });
        BOOST_REQUIRE(!configured || eventually([this] { return allServe(1); }));
        std::this_thread::sleep_for(seconds(3));
    }

    ~Fleet()
    {
        for (Entry &entry : entries)
            entry.direct.stop();
        serverContext.stop();
        serverThread.join();
    }

    void start(Entry &entry, const std::string &name, const std::string &dataCentre)
    {
        entry.link = std::make_unique<LinkRelay>(
            serverContext, tcp::endpoint(asio::ip::make_address("127.0.0.1"), freePort()),
            tcp::endpoint(asio::ip::make_address("127.0.0.1"), store.port()));
        entry.direct.startOnUnusedPorts(name, dataCentre, entry.link->port());
    }

    static int requestStatus(const Entry &entry, const std::string &path)
    {
        return responseStatus(exchangeBytes(
            entry.direct.callerPort(), "GET " + path
                                           + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\n"
                                             "Deadline-Ms: 100\r\nConnection: close\r\n\r\n"));
    }

    /// Whether the entry serves the route of this version and reports ready. As there are no
    /// upstreams, a request to an existing route returns "not run".
    static bool serves(const Entry &entry, int version)
    {
        const int status = requestStatus(entry, "/v" + std::to_string(version) + "/x");
        return (status == 429 || status == 503) && entry.direct.readiness() == 200;
    }

    bool allServe(int version) const
    {
        return std::ranges::all_of(
            entries, [version](const Entry &entry) { return serves(entry, version); });
    }

    void put(int version)
    {
        store.with([version](PlatformStore &model) {
            if (version == 1)
                model.create("config", "main", configuration(1));
            else
                model.replace("config", "main", configuration(version), 0);
        });
    }

    static bool isFollower(std::size_t number)
    {
        std::vector<FleetMember> members;
        for (std::size_t i = 0; i < entryCount; ++i)
            members.push_back({entryName(i), "dc-0"});
        const auto elected = electFollowers(members, "dc-0");
        return std::ranges::find(elected, entryName(number)) != elected.end();
    }

    asio::io_context serverContext;
    StoreServer store{serverContext, freePort()};
    std::array<Entry, entryCount> entries;
    std::jthread serverThread;
};

struct FleetWithoutConfiguration : Fleet
{
    FleetWithoutConfiguration()
        : Fleet(false)
    {}
};

struct FleetOfThreeDataCentres : Fleet
{
    FleetOfThreeDataCentres()
        : Fleet(true, 3)
    {}
};

/// Upper bound on the calls for fresh data that the fleet makes in `seconds` of steady state. A
/// follower refreshes the configuration every 1.3 s and the upstreams every 1.2 s; one more call of
/// each may fall on an edge of the period. An entry that relies on followers refreshes its position
/// at most every 12 s.
double steadyCalls(double seconds)
{
    const double byFollowers = followersPerDataCentre * (seconds / 1.3 + seconds / 1.2 + 2);
    const double byOthers = (entryCount - followersPerDataCentre) * seconds / 12 + 2;
    return byFollowers + byOthers;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreFollowingSuite, Fleet)

// Guards against store calls growing with the fleet: in fleetbench large, 103 entries that each
// watched the store themselves made 114 calls per second in steady state.
BOOST_AUTO_TEST_CASE(storeCallsDoNotGrowWithTheFleet)
{
    constexpr double playSeconds = 4;
    const int before = store.calls - store.staleCalls;
    std::this_thread::sleep_for(std::chrono::duration<double>(playSeconds));
    const int calls = store.calls - store.staleCalls - before;
    BOOST_TEST(calls <= steadyCalls(playSeconds));
    BOOST_TEST(allServe(1));
}

BOOST_AUTO_TEST_CASE(configChangeReachesAllEntriesWithinTheBound)
{
    for (int version = 2; version < 6; ++version) {
        put(version);
        BOOST_TEST(eventually([&] { return allServe(version); }, milliseconds(2000)));
        BOOST_TEST(requestStatus(entries[0], "/v1/x") == 404);
    }
}

// When the followers lose the store, they stop providing proofs; the other entries must then watch
// the store themselves.
BOOST_AUTO_TEST_CASE(entriesKeepServingWhileFollowersAreCutOff)
{
    asio::post(serverContext, [this] {
        for (std::size_t i = 0; i < entryCount; ++i)
            if (isFollower(i))
                entries[i].link->setFault(LinkFault::Silent);
    });
    const auto othersServe = [this](int version) {
        for (std::size_t i = 0; i < entryCount; ++i)
            if (!isFollower(i) && !serves(entries[i], version))
                return false;
        return true;
    };
    for (int tenths = 0; tenths < 60; ++tenths) {
        BOOST_TEST(othersServe(1));
        std::this_thread::sleep_for(milliseconds(100));
    }
    put(2);
    BOOST_TEST(eventually([&] { return othersServe(2); }, milliseconds(2000)));
    // Without a proof, an entry must not use its configuration beyond the freshness bound.
    for (std::size_t i = 0; i < entryCount; ++i)
        if (isFollower(i))
            BOOST_TEST(entries[i].direct.readiness() == 503);
}

// Guards against a fault seen in fleetbench organy-hq, inc-12f5: the store refused one entry's
// connections for 9 s, and the entry refused 215 requests with API keys although other entries had
// proofs of the same configuration.
BOOST_FIXTURE_TEST_CASE(entryRefusedByTheStoreUsesProofsFromOtherDataCentres,
                        FleetOfThreeDataCentres)
{
    asio::post(serverContext, [this] { entries[0].link->setFault(LinkFault::Refused); });
    for (int tenths = 0; tenths < 80; ++tenths) {
        BOOST_TEST(allServe(1));
        std::this_thread::sleep_for(milliseconds(100));
    }
    // The entry cannot read the newer configuration, and proofs no longer cover its old one.
    put(2);
    BOOST_TEST(eventually([this] { return serves(entries[1], 2); }, milliseconds(2000)));
    BOOST_TEST(eventually([this] { return entries[0].direct.readiness() == 503; }));
}

// Guards against a burst of store calls before the first configuration exists: in fleetbench large,
// 103 entries made 5,600 calls within two seconds.
BOOST_FIXTURE_TEST_CASE(missingConfigurationDoesNotIncreaseStoreCalls, FleetWithoutConfiguration)
{
    constexpr double playSeconds = 3;
    const int before = store.calls - store.staleCalls;
    std::this_thread::sleep_for(std::chrono::duration<double>(playSeconds));
    // No entry has a proof to relay, so every entry watches the configuration itself.
    const double watches = entryCount * (playSeconds / 1.3 + 2);
    BOOST_TEST(store.calls - store.staleCalls - before <= watches + steadyCalls(playSeconds));
    put(1);
    BOOST_TEST(eventually([this] { return allServe(1); }, milliseconds(2000)));
}

BOOST_AUTO_TEST_SUITE_END()
