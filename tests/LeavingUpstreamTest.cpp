#include "base/Log.h"
#include "model/LinkRelay.h"
#include "model/LoopbackListener.h"
#include "model/StoreServer.h"
#include "model/UpstreamServer.h"
#include "process/Timers.h"
#include "support/DirectEntry.h"
#include "support/Eventually.h"

#include <array>
#include <memory>
#include <string>
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

/// An entry counts as undisturbed this long after a disruption of its path to the store.
constexpr seconds settledAfter{3};
constexpr int okStatus = 200;

json::object configuration()
{
    const json::object route{{"name", "read"},         {"host", "h.example"},
                             {"pathPrefix", "/read/"}, {"kind", "idempotent"},
                             {"timeoutMs", 2000},      {"targetLatencyMs", 500},
                             {"priority", 0},          {"service", "models"},
                             {"maxAttempts", 2},       {"public", true}};
    return {{"version", 1},
            {"routes", json::array{route}},
            {"services", json::array{json::object{{"name", "models"}}}}};
}

/// Two entries of one data centre, each with a link of its own to the store, and two upstreams.
struct TwoEntries
{
    TwoEntries()
    {
        setLogLevel("off");
        store.with([](PlatformStore &model) { model.create("config", "main", configuration()); });
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            upstreams.at(i) =
                std::make_unique<UpstreamServer>(context, freePort(), upstreamName(i));
            store.with([&](PlatformStore &model) {
                model.create("servers", upstreamName(i), upstreamEntry(i, "ready", 4));
            });
        }
        for (std::size_t i = 0; i < entries.size(); ++i) {
            links.at(i) = std::make_unique<LinkRelay>(
                context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
                tcp::endpoint(asio::ip::make_address("127.0.0.1"), store.port()));
            entries.at(i).startOnUnusedPorts("entry-" + std::to_string(i), "dc",
                                             links.at(i)->port());
        }
        thread = std::jthread([this] { context.run(); });
        BOOST_REQUIRE(eventually([this] {
            return std::ranges::all_of(
                entries, [](const DirectEntry &entry) { return entry.readiness() == okStatus; });
        }));
        std::this_thread::sleep_for(seconds(2));
    }

    ~TwoEntries()
    {
        for (DirectEntry &entry : entries)
            entry.stop();
        context.stop();
        thread.join();
    }

    static std::string upstreamName(std::size_t number) { return "up-" + std::to_string(number); }

    json::object upstreamEntry(std::size_t number, std::string_view state, int slots) const
    {
        return {{"service", "models"},
                {"address", "127.0.0.1:" + std::to_string(upstreams.at(number)->port())},
                {"zone", "dc"},
                {"slots", slots},
                {"state", state},
                {"born", 1}};
    }

    /// Lets the store's watches begin anew, then makes all open connections of entry 0 to the store
    /// swallow bytes; new connections work.
    void silenceStoreConnections()
    {
        store.with([this](PlatformStore &model) {
            model.replace("servers", upstreamName(1), upstreamEntry(1, "ready", 5), 0);
        });
        std::this_thread::sleep_for(milliseconds(400));
        asio::post(context, [this] { links.front()->swallow(); });
        silencedAt = steadyNow();
        std::this_thread::sleep_for(milliseconds(100));
    }

    /// Sends requests to entry 0 from the time at which it counts as undisturbed. Returns how many
    /// reached upstream 0.
    std::size_t requestsAtLeavingUpstream()
    {
        std::this_thread::sleep_until(silencedAt + settledAfter);
        const std::size_t before = upstreams.front()->receivedRequests().size();
        for (const TimePoint end = steadyNow() + seconds(3); steadyNow() < end;) {
            ++lastRequest;
            const std::string answer =
                exchangeBytes(entries.front().callerPort(),
                              "GET /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q"
                                  + std::to_string(lastRequest)
                                  + "\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n");
            BOOST_TEST(responseStatus(answer) == okStatus);
        }
        return upstreams.front()->receivedRequests().size() - before;
    }

    asio::io_context context;
    StoreServer store{context, freePort()};
    std::array<std::unique_ptr<UpstreamServer>, 2> upstreams;
    std::array<std::unique_ptr<LinkRelay>, 2> links;
    std::array<DirectEntry, 2> entries;
    std::jthread thread;
    TimePoint silencedAt{};
    int lastRequest = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingUpstreamSuite, TwoEntries)

BOOST_AUTO_TEST_CASE(drainingUpstreamGetsNoRequestsAfterTheWatchFellSilent)
{
    silenceStoreConnections();
    store.with([this](PlatformStore &model) {
        model.replace("servers", upstreamName(0), upstreamEntry(0, "draining", 4), 0);
    });
    BOOST_TEST(requestsAtLeavingUpstream() == 0U);
}

// The upstream leaves without a word; the other entry has the store all the while.
BOOST_AUTO_TEST_CASE(removedUpstreamGetsNoRequestsAfterOneEntryLostTheStore)
{
    silenceStoreConnections();
    store.with([](PlatformStore &model) { model.remove("servers", upstreamName(0)); });
    BOOST_TEST(requestsAtLeavingUpstream() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
