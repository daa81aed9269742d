#include "model/LoopbackListener.h"
#include "soak/EntryProcess.h"
#include "support/ClientCrowd.h"
#include "support/DaemonPath.h"
#include "support/Eventually.h"
#include "support/SmallFleet.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::ClientCrowd;
using tamarack::harness::CrowdScript;
using tamarack::harness::eventually;
using tamarack::harness::exchangeBytes;
using tamarack::harness::exchangeWithin;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::freePort;
namespace json = boost::json;

namespace {

constexpr int okStatus = 200;
/// Memory of the smallest host that an entry runs on.
constexpr std::size_t smallestHostBytes = 88 << 20;
/// Its descriptors; the smallest host has 4,100. A sixteenth of them, so that a small crowd shows
/// the fault, less the same part of the 200 that the host keeps for files.
constexpr std::size_t descriptors = 256;
constexpr std::size_t keptDescriptors = 12;
constexpr std::size_t clients = 200;
constexpr std::size_t fieldClients = 400;
constexpr std::size_t idleClients = 400;
constexpr std::size_t bodyBytes = 1 << 20;
/// How long a crowd may take to send, and how long one that the entry stops in time plays; no
/// bounds on the entry.
constexpr milliseconds longestCrowdTime{12000};
constexpr milliseconds crowdTime{4000};

std::string repeated(const std::string &unit, std::size_t bytes)
{
    std::string text;
    while (text.size() + unit.size() <= bytes)
        text += unit;
    return text;
}

/// A place at which a crowd can arrive.
struct Place
{
    std::string name;
    std::string path;
    unsigned short port = 0;
};

/// An entry in a process of its own before two sound upstreams.
struct CrowdedEntry : SmallFleet
{
    CrowdedEntry()
        : SmallFleet(0, 2)
        , process(harness::daemonPath(), directory / "settings.json", directory / "log")
    {
        std::filesystem::create_directories(directory);
    }
    ~CrowdedEntry() { std::filesystem::remove_all(directory); }

    std::vector<Place> places() const
    {
        return {{"served route", "/read/x", callerPort},
                {"path without a route", "/nowhere", callerPort},
                {"readiness", "/readyz", readinessPort}};
    }

    static std::string head(const std::string &method, const Place &place)
    {
        return method + " " + place.path
               + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 2000\r\n";
    }

    json::object settings()
    {
        const auto listener = [](unsigned short port) {
            return json::object{{"address", "127.0.0.1:" + std::to_string(port)}};
        };
        return {{"role", "direct"},
                {"name", "entry-0"},
                {"dataCentre", "dc"},
                {"caller", listener(callerPort)},
                {"readiness", listener(readinessPort)},
                {"admin", listener(freePort())},
                {"peer", "127.0.0.1:" + std::to_string(freePort())},
                {"peerKey", "0123456789abcdef"},
                {"store", "127.0.0.1:" + std::to_string(store().port())},
                {"bounds", {{"revokeMs", 4000}}}};
    }

    void startReady()
    {
        std::ofstream(directory / "settings.json") << json::serialize(settings());
        BOOST_REQUIRE(process.start().has_value());
        BOOST_REQUIRE(eventually([this] {
            return responseStatus(exchangeBytes(readinessPort, "GET /readyz HTTP/1.1\r\nHost: h\r\n"
                                                               "Connection: close\r\n\r\n"))
                   == okStatus;
        }));
    }

    void end()
    {
        process.signal(SIGKILL);
        BOOST_REQUIRE(eventually([this] { return !process.running(); }));
    }

    bool ordinaryRequestIsAnswered()
    {
        constexpr milliseconds longest{2500};
        const std::string request =
            head("GET", {"served route", "/read/x", callerPort}) + "Connection: close\r\n\r\n";
        return eventually([&] {
            return responseStatus(exchangeWithin(callerPort, request, longest)) == okStatus;
        });
    }

    /// Plays one crowd at each place, with a new process each time.
    void playEverywhere(const std::string &what, std::size_t crowdSize,
                        const std::function<CrowdScript(const Place &)> &script,
                        milliseconds longest = longestCrowdTime)
    {
        for (const Place &place : places()) {
            startReady();
            {
                ClientCrowd crowd(place.port, crowdSize, script(place));
                crowd.waitUntilSent(longest);
                check(what + ", " + place.name);
            }
            end();
        }
    }

    void check(const std::string &what)
    {
        BOOST_TEST(process.running(), what);
        BOOST_TEST(ordinaryRequestIsAnswered(), what);
        const std::size_t peak = process.peakMemory();
        const std::size_t open = process.openDescriptors();
        BOOST_TEST_MESSAGE(what << ": " << (peak >> 20) << " MB, " << open << " descriptors");
        BOOST_TEST(peak < smallestHostBytes, what << ": " << (peak >> 20) << " MB");
    }

    std::filesystem::path directory =
        std::filesystem::temp_directory_path() / ("crowd-" + std::to_string(::getpid()));
    unsigned short callerPort = freePort();
    unsigned short readinessPort = freePort();
    soak::EntryProcess process;
};

/// Lowers the limit on descriptors for the processes that are started during its lifetime.
class LoweredDescriptors
{
public:
    explicit LoweredDescriptors(rlim_t limit)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        const rlimit lowered{limit, m_before.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~LoweredDescriptors() { ::setrlimit(RLIMIT_NOFILE, &m_before); }
    LoweredDescriptors(const LoweredDescriptors &) = delete;
    LoweredDescriptors &operator=(const LoweredDescriptors &) = delete;

private:
    rlimit m_before{};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MisbehavingClientsSuite, CrowdedEntry)

BOOST_AUTO_TEST_CASE(bodiesThatStopShortStayInsideTheHost)
{
    playEverywhere("bodies in one piece", clients, [](const Place &place) {
        return CrowdScript{.beginning = head("POST", place)
                                        + "Content-Length: " + std::to_string(bodyBytes)
                                        + "\r\n\r\n" + std::string(bodyBytes - 1, 'x')};
    });
}

BOOST_AUTO_TEST_CASE(bodiesInSmallPiecesStayInsideTheHost)
{
    constexpr std::size_t pieceBytes = 4096;
    playEverywhere("bodies in small pieces", clients, [](const Place &place) {
        return CrowdScript{.beginning = head("POST", place) + "Content-Length: "
                                        + std::to_string(bodyBytes) + "\r\n\r\n",
                           .piece = std::string(pieceBytes, 'x'),
                           .repeats = bodyBytes / pieceBytes - 1};
    });
}

BOOST_AUTO_TEST_CASE(bodiesInChunksStayInsideTheHost)
{
    constexpr std::size_t pieceBytes = 4096;
    playEverywhere("bodies in chunks", clients, [](const Place &place) {
        return CrowdScript{.beginning = head("POST", place) + "Transfer-Encoding: chunked\r\n\r\n",
                           .piece = "1000\r\n" + std::string(pieceBytes, 'x') + "\r\n",
                           .repeats = bodyBytes / pieceBytes - 1};
    });
}

BOOST_AUTO_TEST_CASE(wholeBodiesStayInsideTheHost)
{
    playEverywhere("whole bodies", clients, [](const Place &place) {
        return CrowdScript{.beginning = head("POST", place)
                                        + "Content-Length: " + std::to_string(bodyBytes)
                                        + "\r\n\r\n" + std::string(bodyBytes, 'x')};
    });
}

BOOST_AUTO_TEST_CASE(bodiesFarOverTheLimitStayInsideTheHost)
{
    constexpr std::size_t farOver = 64 << 20;
    constexpr std::size_t pieceBytes = 1 << 16;
    playEverywhere(
        "bodies far over the limit", clients,
        [](const Place &place) {
            return CrowdScript{.beginning = head("POST", place) + "Content-Length: "
                                            + std::to_string(farOver) + "\r\n\r\n",
                               .piece = std::string(pieceBytes, 'x'),
                               .repeats = farOver / pieceBytes};
        },
        crowdTime);
}

BOOST_AUTO_TEST_CASE(manyShortFieldsStayInsideTheHost)
{
    constexpr std::size_t fieldBytes = 15 << 10;
    playEverywhere("many short fields", fieldClients, [](const Place &place) {
        return CrowdScript{.beginning =
                               head("GET", place) + repeated("a:b\r\n", fieldBytes) + "\r\n"};
    });
}

BOOST_AUTO_TEST_CASE(manyQueryPartsStayInsideTheHost)
{
    constexpr std::size_t queryBytes = 7 << 10;
    playEverywhere("many query parts", fieldClients, [](const Place &place) {
        Place queried = place;
        queried.path += "?" + repeated("a=b&", queryBytes);
        return CrowdScript{.beginning = head("GET", queried) + "\r\n"};
    });
}

BOOST_AUTO_TEST_CASE(requestsSentAheadStayInsideTheHost)
{
    constexpr std::size_t requests = 2000;
    playEverywhere(
        "requests sent ahead", clients,
        [](const Place &place) {
            return CrowdScript{.piece = head("GET", place) + "\r\n", .repeats = requests};
        },
        crowdTime);
}

BOOST_AUTO_TEST_CASE(requestsSentAheadBehindLargeHeadsStayInsideTheHost)
{
    constexpr std::size_t fieldBytes = 15 << 10;
    constexpr std::size_t requests = 20;
    playEverywhere(
        "large heads sent ahead", clients,
        [](const Place &place) {
            return CrowdScript{.piece = head("GET", place)
                                        + "X-Long: " + std::string(fieldBytes, 'x') + "\r\n\r\n",
                               .repeats = requests};
        },
        crowdTime);
}

BOOST_AUTO_TEST_CASE(headsThatStopHalfWayStayInsideTheHost)
{
    constexpr std::size_t fieldBytes = 15 << 10;
    playEverywhere("heads that stop half-way", fieldClients, [](const Place &place) {
        return CrowdScript{.beginning = head("GET", place) + repeated("a:b\r\n", fieldBytes)};
    });
}

BOOST_AUTO_TEST_CASE(slowHeadsAndBodiesStayInsideTheHost)
{
    constexpr milliseconds slow{200};
    playEverywhere(
        "slow heads", clients,
        [slow](const Place &place) {
            return CrowdScript{.beginning = head("GET", place),
                               .piece = "a:b\r\n",
                               .repeats = 1000,
                               .pause = slow};
        },
        crowdTime);
    constexpr std::size_t bytesBeforePause = 1 << 15;
    playEverywhere("slow bodies", clients, [slow](const Place &place) {
        return CrowdScript{.beginning = head("POST", place)
                                        + "Content-Length: " + std::to_string(bodyBytes)
                                        + "\r\n\r\n" + std::string(bodyBytes / 2, 'x'),
                           .piece = std::string(bytesBeforePause, 'x'),
                           .repeats = 10,
                           .pause = slow};
    });
}

BOOST_AUTO_TEST_CASE(answersThatAreNotReadStayInsideTheHost)
{
    constexpr std::size_t answerBytes = 1 << 20;
    constexpr std::size_t requests = 4;
    for (std::size_t i = 0; i < 2; ++i)
        upstream(i).answerBytes = answerBytes;
    playEverywhere(
        "answers not read", clients,
        [](const Place &place) {
            return CrowdScript{.piece = head("GET", place) + "\r\n", .repeats = requests};
        },
        crowdTime);
}

BOOST_AUTO_TEST_CASE(openConnectionsLeaveDescriptorsForTheEntry)
{
    for (const bool begun : {false, true})
        for (const Place &place : places()) {
            {
                const LoweredDescriptors lowered(descriptors);
                startReady();
            }
            const std::string what =
                (begun ? "begun heads, " : "connections without a byte, ") + place.name;
            {
                ClientCrowd crowd(place.port, idleClients,
                                  {.beginning = begun ? head("GET", place) : ""});
                crowd.waitUntilSent(crowdTime);
                check(what);
                BOOST_TEST(process.openDescriptors() <= descriptors - keptDescriptors, what);
            }
            end();
        }
}

BOOST_AUTO_TEST_SUITE_END()
