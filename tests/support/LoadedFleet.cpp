#include "support/LoadedFleet.h"

#include "base/Log.h"
#include "model/LoopbackListener.h"
#include "process/Timers.h"
#include "support/Eventually.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace tamarack::harness {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace tamarack::standin;

namespace {

/// Chosen so that one upstream has too few places for all clients and both are needed.
constexpr int clientsOfEntry = 5;
constexpr int workMs = 40;
constexpr int okStatus = 200;
/// From the start of a request with the crashing part to the end of its upstream.
constexpr milliseconds timeToCrash{20};
constexpr milliseconds restartTime{1500};
constexpr std::string_view commonPart = "a1";
constexpr std::string_view crashingPart = "bad0";

json::object configuration()
{
    const json::object route{{"name", "read"},         {"host", "h.example"},
                             {"pathPrefix", "/read/"}, {"kind", "idempotent"},
                             {"timeoutMs", 2000},      {"targetLatencyMs", 500},
                             {"priority", 0},          {"service", "models"},
                             {"maxAttempts", 2},       {"public", true}};
    return {{"version", 1},
            {"routes", json::array{route}},
            {"services", json::array{json::object{{"name", "models"},
                                                  {"healthCheck", UpstreamServer::healthPath}}}}};
}

std::string upstreamName(std::size_t number)
{
    return "up-" + std::to_string(number);
}

json::object upstreamEntry(unsigned short port, std::uint64_t born)
{
    return {{"service", "models"}, {"address", "127.0.0.1:" + std::to_string(port)},
            {"zone", "dc"},        {"slots", 4},
            {"state", "ready"},    {"born", born}};
}

} // namespace

LoadedFleet::LoadedFleet(std::size_t upstreamCount)
    : m_store(m_serverContext, freePort())
    , m_upstreams(upstreamCount)
{
    setLogLevel("off");
    m_store.with([](PlatformStore &store) { store.create("config", "main", configuration()); });
    for (std::size_t i = 0; i < upstreamCount; ++i)
        addUpstream(i);
    m_serverThread = std::jthread([this] { m_serverContext.run(); });
    for (std::size_t i = 0; i < entryCount; ++i)
        m_entries.at(i).startOnUnusedPorts("entry-" + std::to_string(i), "dc", m_store.port());
    BOOST_REQUIRE(eventually([this] {
        return std::ranges::all_of(
            m_entries, [](const DirectEntry &entry) { return entry.readiness() == okStatus; });
    }));
    // Wait until the entries have received reports from each other.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (const DirectEntry &entry : m_entries)
        for (int client = 0; client < clientsOfEntry; ++client)
            m_clients.emplace_back([this, &entry, client] {
                const std::string part = "b" + std::to_string(client);
                while (!m_stopping) {
                    ++m_sent;
                    m_served += sendRequest(entry, part) ? 1 : 0;
                }
            });
}

LoadedFleet::~LoadedFleet()
{
    m_stopping = true;
    m_clients.clear();
    for (DirectEntry &entry : m_entries)
        entry.stop();
    m_serverContext.stop();
    m_serverThread.join();
}

void LoadedFleet::addUpstream(std::size_t number)
{
    Upstream &upstream = m_upstreams.at(number);
    upstream.born = number + 1;
    upstream.server =
        std::make_unique<UpstreamServer>(m_serverContext, freePort(), upstreamName(number));
    upstream.server->workMs = workMs;
    upstream.server->onRun = [this, number](const HttpRequest &request) {
        countRun(number, request);
    };
    const auto address = asio::ip::make_address("127.0.0.1");
    upstream.link =
        std::make_unique<LinkRelay>(m_serverContext, asio::ip::tcp::endpoint(address, 0),
                                    asio::ip::tcp::endpoint(address, upstream.server->port()));
    m_store.with([&](PlatformStore &store) {
        store.create("servers", upstreamName(number),
                     upstreamEntry(upstream.link->port(), upstream.born));
    });
}

void LoadedFleet::countRun(std::size_t number, const HttpRequest &request)
{
    const auto parts = findHeader(request.headers, "Prompt-Prefix").value_or("");
    const bool crashes = parts.find(crashingPart) != std::string_view::npos;
    {
        const std::lock_guard lock(m_mutex);
        m_upstreams.at(number).arrivals.push_back(steadyNow());
        if (crashes)
            m_crashes.push_back(steadyNow());
    }
    if (crashes)
        asio::co_spawn(m_serverContext, crash(number), asio::detached);
}

asio::awaitable<void> LoadedFleet::crash(std::size_t number)
{
    Upstream &upstream = m_upstreams.at(number);
    if (std::exchange(upstream.down, true))
        co_return;
    co_await pause(timeToCrash);
    upstream.link->setListening(false);
    co_await pause(restartTime);
    upstream.born += m_upstreams.size();
    listUpstream(number);
    upstream.link->setListening(true);
    upstream.down = false;
}

void LoadedFleet::crashAll()
{
    for (std::size_t i = 0; i < m_upstreams.size(); ++i)
        asio::co_spawn(m_serverContext, crash(i), asio::detached);
}

void LoadedFleet::sendCrashingRequests(milliseconds interval)
{
    m_clients.emplace_back([this, interval] {
        std::vector<std::jthread> requests;
        for (std::size_t next = 0; !m_stopping; ++next) {
            requests.emplace_back(
                [this, next] { sendRequest(m_entries.at(next % entryCount), crashingPart); });
            std::this_thread::sleep_for(interval);
        }
    });
}

std::vector<TimePoint> LoadedFleet::crashes() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashes;
}

bool LoadedFleet::sendRequest(const DirectEntry &entry, std::string_view sharedPart)
{
    const std::string number = std::to_string(++m_lastRequest);
    const std::string answer = exchangeBytes(
        entry.callerPort(), "GET /read/" + number + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q"
                                + number + "\r\nPrompt-Prefix: " + std::string(commonPart) + ":60,"
                                + std::string(sharedPart) + ":100,c" + number
                                + ":50\r\nDeadline-Ms: 1900\r\nConnection: close\r\n\r\n");
    return responseStatus(answer) == okStatus;
}

void LoadedFleet::listIncarnation(std::size_t upstream, std::uint64_t born)
{
    m_upstreams.at(upstream).born = born;
    listUpstream(upstream);
}

void LoadedFleet::listUpstream(std::size_t number)
{
    const Upstream &upstream = m_upstreams.at(number);
    m_store.with([&](PlatformStore &store) {
        store.replace("servers", upstreamName(number),
                      upstreamEntry(upstream.link->port(), upstream.born), 0);
    });
}

std::vector<TimePoint> LoadedFleet::arrivals(std::size_t upstream) const
{
    const std::lock_guard lock(m_mutex);
    return m_upstreams.at(upstream).arrivals;
}

std::size_t maxWithin(const std::vector<TimePoint> &times, Duration length, TimePoint from)
{
    std::size_t most = 0;
    auto first = times.begin();
    for (auto last = times.begin(); last != times.end(); ++last) {
        while (*last - *first >= length)
            ++first;
        if (*last >= from)
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

} // namespace tamarack::harness
