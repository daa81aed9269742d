#include "model/EndlessServer.h"
#include "model/LoopbackListener.h"
#include "soak/EntryProcess.h"
#include "support/DaemonPath.h"
#include "support/Eventually.h"
#include "support/SmallFleet.h"

#include <array>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::eventually;
using tamarack::harness::exchangeBytes;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::EndlessPart;
using tamarack::standin::EndlessServer;
using tamarack::standin::freePort;
namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace {

constexpr int okStatus = 200;
/// Memory of the smallest host that an entry runs on.
constexpr std::size_t smallestHostBytes = 88 << 20;
constexpr std::size_t soundUpstreams = 2;
constexpr int clients = 30;
constexpr std::chrono::seconds troubleTime{5};

constexpr std::array parts{
    std::pair{EndlessPart::Garbage, "garbage"},
    std::pair{EndlessPart::Head, "head"},
    std::pair{EndlessPart::Body, "body without a length"},
    std::pair{EndlessPart::Event, "event"},
    std::pair{EndlessPart::UnsignedBody, "unsigned body"},
    std::pair{EndlessPart::Chunks, "chunks"},
    std::pair{EndlessPart::FailureBody, "body of a failure"},
    std::pair{EndlessPart::RefusalBody, "body of a refusal"},
    std::pair{EndlessPart::ChunkExtension, "chunk extension"},
    std::pair{EndlessPart::ChunkSize, "chunk size"},
    std::pair{EndlessPart::Trailer, "trailer"},
};

std::string address(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Sends the pieces behind `beginning` until the other side closes, or `mostBytes` were sent.
void sendUntilClosed(unsigned short port, const std::string &beginning, const std::string &piece,
                     std::size_t mostBytes)
{
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
    asio::write(socket, asio::buffer(beginning), error);
    for (std::size_t sent = 0; !error && sent < mostBytes; sent += piece.size())
        asio::write(socket, asio::buffer(piece), error);
}

/// An entry in a process of its own, before two sound upstreams and two that send bytes without
/// end.
struct EndlessUpstreams : SmallFleet
{
    EndlessUpstreams()
        : SmallFleet(0, soundUpstreams)
        , process(harness::daemonPath(), directory / "settings.json", directory / "log")
    {
        std::filesystem::create_directories(directory);
        for (std::size_t i = 0; i < soundUpstreams; ++i) {
            upstream(i).workMs = 500;
            upstream(i).eventPauseMs = 100;
        }
        for (std::size_t i = 0; i < endless.size(); ++i) {
            endless[i].pieceIntervalMs = 8;
            listAt("endless-" + std::to_string(i), ports.at(i), {.slots = 6, .born = 0});
        }
    }
    ~EndlessUpstreams() { std::filesystem::remove_all(directory); }

    json::object settings(unsigned short storePort) const
    {
        const auto listener = [](unsigned short port) {
            return json::object{{"address", address(port)}};
        };
        return {{"role", "direct"},
                {"name", "entry-0"},
                {"dataCentre", "dc"},
                {"caller", listener(callerPort)},
                {"readiness", listener(readinessPort)},
                {"admin", listener(freePort())},
                {"peer", address(freePort())},
                {"peerKey", "0123456789abcdef"},
                {"store", address(storePort)},
                {"bounds", {{"revokeMs", 4000}}}};
    }

    void startProcess(unsigned short storePort)
    {
        std::ofstream(directory / "settings.json") << json::serialize(settings(storePort));
        BOOST_REQUIRE(process.start().has_value());
    }

    void startReadyProcess()
    {
        startProcess(store().port());
        BOOST_REQUIRE(eventually([this] {
            return responseStatus(exchangeBytes(readinessPort, "GET /readyz HTTP/1.1\r\nHost: h\r\n"
                                                               "Connection: close\r\n\r\n"))
                   == okStatus;
        }));
    }

    void endProcess()
    {
        process.signal(SIGKILL);
        BOOST_REQUIRE(eventually([this] { return !process.running(); }));
    }

    /// Sends requests one after the other until `over`. Counts those that got no response.
    void sendRequests(int client, const std::atomic<bool> &over)
    {
        const std::string path = client % 2 == 0 ? "/read/x" : "/stream/x";
        for (int i = 0; !over; ++i) {
            const std::string answer = exchangeBytes(
                callerPort, "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                                + std::to_string(client) + "-" + std::to_string(i)
                                + "\r\nDeadline-Ms: 3000\r\nConnection: close\r\n\r\n");
            unanswered += answer.empty() ? 1 : 0;
        }
    }

    std::filesystem::path directory =
        std::filesystem::temp_directory_path() / ("endless-" + std::to_string(::getpid()));
    unsigned short callerPort = freePort();
    unsigned short readinessPort = freePort();
    std::array<unsigned short, 2> ports{freePort(), freePort()};
    std::array<EndlessServer, 2> endless{EndlessServer(context(), ports[0]),
                                         EndlessServer(context(), ports[1])};
    soak::EntryProcess process;
    std::atomic<int> unanswered{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndlessBytesSuite, EndlessUpstreams)

// Guards against a report of issue 49: upstreams sent bytes without end, and the entry that kept
// them ran out of memory with the requests of all its clients.
BOOST_AUTO_TEST_CASE(endlessBytesOfUpstreamsDoNotExhaustTheMemoryOfAHost)
{
    for (const auto &[part, name] : parts) {
        for (EndlessServer &server : endless)
            server.part = part;
        startReadyProcess();
        std::atomic<bool> over{false};
        std::vector<std::jthread> threads;
        for (int i = 0; i < clients; ++i)
            threads.emplace_back([this, i, &over] { sendRequests(i, over); });
        std::this_thread::sleep_for(troubleTime);
        over = true;
        threads.clear();
        const std::size_t peakMegabytes = process.peakMemory() >> 20;
        BOOST_TEST_MESSAGE("peak memory, " << name << ": " << peakMegabytes << " MB");
        BOOST_TEST(process.peakMemory() < smallestHostBytes, name << ": " << peakMegabytes);
        BOOST_TEST(process.running());
        BOOST_TEST(unanswered == 0);
        endProcess();
    }
}

BOOST_AUTO_TEST_CASE(endlessBytesOfClientsDoNotExhaustTheMemoryOfAHost)
{
    constexpr std::size_t mostBytes = 64 << 20;
    constexpr std::size_t pieceBytes = 1 << 16;
    const std::string head = "POST /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    startReadyProcess();
    for (const auto &[beginning, unit] : std::vector<std::pair<std::string, std::string>>{
             {"", "x"},
             {head, "X-More: and more\r\n"},
             {head + chunked + "1;extension=", "x"},
             {head + chunked + "0", "0"},
             {head + chunked + "0\r\n", "X-More: and more\r\n"}}) {
        std::string piece;
        while (piece.size() < pieceBytes)
            piece += unit;
        std::vector<std::jthread> threads;
        for (int i = 0; i < 4; ++i)
            threads.emplace_back([this, &beginning, &piece] {
                sendUntilClosed(callerPort, beginning, piece, mostBytes);
            });
        threads.clear();
        BOOST_TEST(process.peakMemory() < smallestHostBytes, beginning << unit);
        BOOST_TEST(process.running());
    }
    BOOST_TEST_MESSAGE("peak memory: " << (process.peakMemory() >> 20) << " MB");
    endProcess();
}

BOOST_AUTO_TEST_CASE(endlessBytesOfTheStoreDoNotExhaustTheMemoryOfAHost)
{
    constexpr std::chrono::seconds storeTime{3};
    for (const EndlessPart part : {EndlessPart::Head, EndlessPart::Body, EndlessPart::Chunks,
                                   EndlessPart::ChunkExtension, EndlessPart::Trailer}) {
        endless[0].part = part;
        endless[0].pieceIntervalMs = 0;
        startProcess(ports[0]);
        std::this_thread::sleep_for(storeTime);
        BOOST_TEST_MESSAGE("peak memory: " << (process.peakMemory() >> 20) << " MB");
        BOOST_TEST(process.peakMemory() < smallestHostBytes, static_cast<int>(part));
        BOOST_TEST(process.running());
        endProcess();
    }
}

BOOST_AUTO_TEST_SUITE_END()
