#include "model/LoopbackListener.h"
#include "soak/EntryProcess.h"
#include "support/ClientCrowd.h"
#include "support/DaemonPath.h"
#include "support/Eventually.h"
#include "support/SmallFleet.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <utility>

#include <unistd.h>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::eventually;
using tamarack::harness::exchangeBytes;
using tamarack::harness::exchangeWithin;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::freePort;
using tamarack::standin::PlatformStore;
namespace json = boost::json;

namespace {

constexpr int okStatus = 200;
/// Memory of the smallest host that an entry runs on.
constexpr std::size_t smallestHostBytes = 88 << 20;
constexpr std::size_t pageObjects = 500;
constexpr std::size_t objects = 10'000;
constexpr std::size_t objectBytes = 1800;
constexpr std::size_t largestObjectBytes = 1'000'000;
/// Time in which an entry reads a change, its pause between two watches included.
constexpr milliseconds watchTime{2000};
/// Kinds of the store that each entry reads.
constexpr std::array<std::string_view, 4> kinds{"servers", "config", "tamarack-entries",
                                                "tamarack-streams"};

std::string numbered(std::string_view text, std::size_t number)
{
    return std::string(text).append(std::to_string(number));
}

/// The value as often as fits into an object's bytes.
json::array filledWith(const json::value &value)
{
    return json::array(objectBytes / (json::serialize(value).size() + 1), value);
}

json::object shortFields()
{
    json::object fields;
    for (std::size_t bytes = 0; bytes < objectBytes;) {
        const std::string name = std::to_string(fields.size());
        fields[name] = 0;
        bytes += name.size() + std::string_view("\"\":0,").size();
    }
    return fields;
}

/// An entry in a process of its own, before two sound upstreams and a store with many objects of
/// another writer.
struct FilledStore : SmallFleet
{
    FilledStore()
        : SmallFleet(0, 2)
        , process(harness::daemonPath(), directory / "settings.json", directory / "log")
    {
        std::filesystem::create_directories(directory);
        store().with([](PlatformStore &model) { model.setPageSize(pageObjects); });
    }
    ~FilledStore() { std::filesystem::remove_all(directory); }

    json::object settings()
    {
        const auto listener = [](unsigned short port) {
            return json::object{{"address", numbered("127.0.0.1:", port)}};
        };
        return {{"role", "direct"},
                {"name", "entry-0"},
                {"dataCentre", "dc"},
                {"caller", listener(callerPort)},
                {"readiness", listener(readinessPort)},
                {"admin", listener(freePort())},
                {"peer", numbered("127.0.0.1:", freePort())},
                {"peerKey", "0123456789abcdef"},
                {"store", numbered("127.0.0.1:", store().port())},
                {"bounds", {{"revokeMs", 4000}}}};
    }

    void fill(std::string_view kind, const json::value &content, std::size_t count = objects)
    {
        store().with([&](PlatformStore &model) {
            for (std::size_t i = 0; i < count; ++i) {
                model.create(std::string(kind), numbered("other-", i), content);
                model.compact();
            }
        });
    }

    void fillEverything(const json::value &content)
    {
        for (const std::string_view kind : kinds)
            fill(kind, content);
    }

    void start()
    {
        std::ofstream(directory / "settings.json") << json::serialize(settings());
        BOOST_REQUIRE(process.start().has_value());
    }

    bool isReady() const
    {
        return eventually([this] {
            return responseStatus(exchangeBytes(readinessPort, "GET /readyz HTTP/1.1\r\nHost: h\r\n"
                                                               "Connection: close\r\n\r\n"))
                   == okStatus;
        });
    }

    std::string ordinaryAnswer()
    {
        constexpr milliseconds longest{2500};
        return exchangeWithin(callerPort,
                              "GET /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                                  + numbered("filled-", ++requests)
                                  + "\r\nDeadline-Ms: 2000\r\nConnection: close\r\n\r\n",
                              longest);
    }

    bool ordinaryRequestIsAnswered()
    {
        return eventually([this] { return responseStatus(ordinaryAnswer()) == okStatus; });
    }

    /// Creates the objects between two calls of the store.
    void fillAtOnce(std::string_view kind, const json::value &content, std::size_t count)
    {
        store().with([&](PlatformStore &model) {
            for (std::size_t i = 0; i < count; ++i)
                model.create(std::string(kind), numbered("other-", i), content);
        });
    }

    void end()
    {
        process.signal(SIGKILL);
        BOOST_REQUIRE(eventually([this] { return !process.running(); }));
        std::filesystem::remove(directory / "log");
    }

    /// Whether the entry has read all kinds that it lists.
    bool hasReadEverything() const
    {
        return eventually([this] {
            std::ifstream file(directory / "log");
            const std::string log(std::istreambuf_iterator<char>(file), {});
            return log.find("stream_origins_read") != std::string::npos;
        });
    }

    void check(const std::string &what)
    {
        start();
        BOOST_TEST(isReady(), what);
        BOOST_TEST(hasReadEverything(), what);
        checkServing(what);
    }

    void checkServing(const std::string &what)
    {
        BOOST_TEST(ordinaryRequestIsAnswered(), what);
        BOOST_TEST(process.running(), what);
        const std::size_t peak = process.peakMemory();
        BOOST_TEST_MESSAGE(what << ": " << (peak >> 20) << " MB");
        BOOST_TEST(peak < smallestHostBytes, what << ": " << (peak >> 20) << " MB");
    }

    std::filesystem::path directory =
        std::filesystem::temp_directory_path() / numbered("filled-", ::getpid());
    unsigned short callerPort = freePort();
    unsigned short readinessPort = freePort();
    soak::EntryProcess process;
    std::size_t requests = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreMemorySuite, FilledStore)

BOOST_AUTO_TEST_CASE(manyObjectsOfOneTextStayInsideTheHost)
{
    fillEverything(json::string(objectBytes, 'x'));
    check("texts");
}

BOOST_AUTO_TEST_CASE(manyObjectsOfSmallNumbersStayInsideTheHost)
{
    fillEverything(filledWith(0));
    check("small numbers");
}

BOOST_AUTO_TEST_CASE(manyObjectsOfEmptyObjectsStayInsideTheHost)
{
    fillEverything(filledWith(json::object()));
    check("empty objects");
}

BOOST_AUTO_TEST_CASE(manyObjectsOfShortFieldsStayInsideTheHost)
{
    fillEverything(shortFields());
    check("short fields");
}

BOOST_AUTO_TEST_CASE(aNameOfTwentyThousandBytesIsReadPast)
{
    const std::string name(20'000, 'n');
    store().with([&](PlatformStore &model) {
        for (const std::string_view kind : kinds) {
            for (std::size_t i = 0; i < 2 * pageObjects; ++i)
                model.create(std::string(kind), numbered("a", i), "");
            model.create(std::string(kind), name, "");
        }
    });
    check("long name");
}

BOOST_AUTO_TEST_CASE(streamsOfLongUpstreamNamesStayInsideTheHost)
{
    json::array streams;
    while (json::serialize(streams).size() < objectBytes / 2)
        streams.emplace_back("1");
    const json::object group{{"upstream", std::string(objectBytes / 2, 'u')},
                             {"born", 1},
                             {"version", "v"},
                             {"streams", streams}};
    fill("tamarack-streams", json::array{group});
    check("streams of long names");
}

BOOST_AUTO_TEST_CASE(oneObjectOfManyStreamsStaysInsideTheHost)
{
    constexpr std::size_t halfObject = 30'000;
    json::array streams(halfObject / std::string_view("\"1\",").size(), "1");
    const json::object group{{"upstream", std::string(halfObject, 'u')},
                             {"born", 1},
                             {"version", "v"},
                             {"streams", streams}};
    fill("tamarack-streams", json::array{group}, 1);
    check("one object of many streams");
}

/// Objects of the largest size that the store takes, all changed at the same moment.
BOOST_AUTO_TEST_CASE(largeChangesAtOnceStayInsideTheHost)
{
    constexpr std::size_t count = 7;
    for (const std::string_view kind : kinds) {
        start();
        BOOST_REQUIRE(isReady());
        BOOST_REQUIRE(hasReadEverything());
        fillAtOnce(kind, json::array(largestObjectBytes / std::string_view("0,").size(), 0), count);
        std::this_thread::sleep_for(watchTime);
        checkServing(std::string("large changes of ").append(kind));
        end();
        store().with([&](PlatformStore &model) {
            for (std::size_t i = 0; i < count; ++i)
                model.remove(std::string(kind), numbered("other-", i));
        });
    }
}

BOOST_AUTO_TEST_CASE(changesBehindAnAnswerThatIsTooLongAreFollowed)
{
    // The store ends a page at 1 MB.
    store().with([](PlatformStore &model) { model.setPageSize(1); });
    unlist(1);
    start();
    BOOST_REQUIRE(isReady());
    BOOST_REQUIRE(hasReadEverything());
    fillAtOnce("servers", json::string(largestObjectBytes, 'x'), 10);
    list(1, {});
    unlist(0);
    BOOST_TEST(eventually([this] {
        return ordinaryAnswer().find("signed-by-" + upstreamName(1)) != std::string::npos;
    }));
    checkServing("an answer that is too long");
}

BOOST_AUTO_TEST_CASE(manyRegistrationsStayInsideTheHost)
{
    fill("tamarack-entries", json::object{{"peer", "127.0.0.1:9"}, {"incarnation", "0"}});
    check("registrations");
    std::this_thread::sleep_for(watchTime);
    checkServing("registrations, later");
}

BOOST_AUTO_TEST_CASE(registrationsAtOddAddressesEndNoProcess)
{
    const std::array<const char *, 9> addresses{"0.0.0.0:1",   "255.255.255.255:9", "[::1]:1",
                                                "::1:1",       "224.0.0.1:5",       "fe80::1%lo:7",
                                                "127.0.0.1:0", "127.0.0.1:70000",   ":1"};
    store().with([&](PlatformStore &model) {
        for (const char *address : addresses) {
            model.create("tamarack-entries", address, json::object{{"peer", address}});
            model.create("tamarack-streams", address, json::object{{"peer", address}});
            model.create("servers", address,
                         json::object{{"service", "models"},
                                      {"address", address},
                                      {"slots", 1e300},
                                      {"born", -1},
                                      {"state", "draining"}});
        }
        model.create("tamarack-entries", "entry-0", json::object{{"peer", "127.0.0.1:9"}});
        model.create("tamarack-streams", "entry-0", 7);
    });
    for (int round = 0; round < 3; ++round) {
        check("odd addresses");
        end();
    }
}

BOOST_AUTO_TEST_SUITE_END()
