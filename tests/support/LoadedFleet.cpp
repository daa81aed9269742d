#include "support/LoadedFleet.h"

#include "base/Log.h"
#include "model/LoopbackListener.h"
#include "process/Timers.h"
#include "support/Eventually.h"

#include <algorithm>
#include <string>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace tamarack::harness {

namespace json = boost::json;
using namespace tamarack::standin;

namespace {

/// Chosen so that one upstream has too few places for all clients and both are needed.
constexpr int clientsOfEntry = 5;
constexpr int workMs = 40;
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

LoadedFleet::LoadedFleet()
    : m_store(m_serverContext, freePort())
{
    setLogLevel("off");
    m_store.with([](PlatformStore &store) { store.create("config", "main", configuration()); });
    for (std::size_t i = 0; i < upstreamCount; ++i) {
        Upstream &upstream = m_upstreams.at(i);
        upstream.server =
            std::make_unique<UpstreamServer>(m_serverContext, freePort(), upstreamName(i));
        upstream.server->workMs = workMs;
        upstream.server->onRun = [this, i](const HttpRequest &) {
            const std::lock_guard lock(m_mutex);
            m_upstreams.at(i).arrivals.push_back(steadyNow());
        };
        m_store.with([&](PlatformStore &store) {
            store.create("servers", upstreamName(i), upstreamEntry(upstream.server->port(), i + 1));
        });
    }
    m_serverThread = std::jthread([this] { m_serverContext.run(); });
    for (std::size_t i = 0; i < entryCount; ++i)
        m_entries.at(i).start(
            DirectEntry::makeSettings("entry-" + std::to_string(i), "dc", m_store.port()));
    BOOST_REQUIRE(eventually([this] {
        return std::ranges::all_of(
            m_entries, [](const DirectEntry &entry) { return entry.readiness() == okStatus; });
    }));
    // Wait until the entries have received reports from each other.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (const DirectEntry &entry : m_entries)
        for (int client = 0; client < clientsOfEntry; ++client)
            m_clients.emplace_back([this, &entry] {
                while (!m_stopping)
                    sendRequest(entry);
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

void LoadedFleet::sendRequest(const DirectEntry &entry)
{
    const int number = ++m_sent;
    const std::string answer =
        exchangeBytes(entry.callerPort(), "GET /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q"
                                              + std::to_string(number)
                                              + "\r\nDeadline-Ms: 1900\r\n"
                                                "Connection: close\r\n\r\n");
    m_served += responseStatus(answer) == okStatus ? 1 : 0;
}

void LoadedFleet::listIncarnation(std::size_t upstream, std::uint64_t born)
{
    const unsigned short port = m_upstreams.at(upstream).server->port();
    m_store.with([&](PlatformStore &store) {
        store.replace("servers", upstreamName(upstream), upstreamEntry(port, born), 0);
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
