#include "support/SmallFleet.h"

#include "base/Log.h"
#include "model/LoopbackListener.h"
#include "support/Eventually.h"

#include <algorithm>
#include <future>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

namespace tamarack::harness {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace tamarack::standin;
using tcp = asio::ip::tcp;

namespace {

constexpr int okStatus = 200;
/// Within this time, entries that are ready have received reports from each other.
constexpr std::chrono::seconds settlingTime{2};

json::object route(const std::string &name, std::string_view kind)
{
    return {{"name", name},          {"host", "h.example"}, {"pathPrefix", "/" + name + "/"},
            {"kind", kind},          {"timeoutMs", 3000},   {"targetLatencyMs", 500},
            {"priority", 0},         {"service", "models"}, {"maxAttempts", 2},
            {"resumeStreams", true}, {"public", true}};
}

/// `split`: the services of streams with their weights; none if all streams are for `models`.
json::object configuration(int version, const json::array &split)
{
    json::object streaming = route("stream", "streaming");
    if (!split.empty())
        streaming["weightedClusters"] = split;
    return {{"version", version},
            {"routes",
             json::array{route("read", "idempotent"), route("write", "non_idempotent"), streaming}},
            {"services",
             json::array{json::object{{"name", "models"}}, json::object{{"name", "others"}}}}};
}

} // namespace

SmallFleet::SmallFleet(std::size_t entryCount, std::size_t upstreamCount,
                       std::optional<RolloutBounds> rollouts)
    : m_rollouts(rollouts)
    , m_store(m_context, freePort())
{
    setLogLevel("off");
    m_store.with(
        [](PlatformStore &store) { store.create("config", "main", configuration(1, {})); });
    for (std::size_t i = 0; i < upstreamCount; ++i) {
        m_upstreams.push_back(
            std::make_unique<UpstreamServer>(m_context, freePort(), upstreamName(i)));
        list(i, {});
    }
    m_thread = std::jthread([this] { m_context.run(); });
    for (std::size_t i = 0; i < entryCount; ++i)
        startEntry();
    std::this_thread::sleep_for(settlingTime);
}

SmallFleet::~SmallFleet()
{
    for (const auto &entry : m_entries)
        entry->stop();
    m_context.stop();
    m_thread.join();
}

std::size_t SmallFleet::startEntry()
{
    const std::size_t number = m_entries.size();
    m_links.push_back(std::make_unique<LinkRelay>(
        m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
        tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_store.port())));
    m_entries.push_back(std::make_unique<DirectEntry>());
    m_entries.back()->startOnUnusedPorts(entryName(number), "dc", m_links.back()->port(),
                                         m_rollouts);
    BOOST_REQUIRE(eventually([&] { return m_entries.back()->readiness() == okStatus; }));
    return number;
}

void SmallFleet::restartEntry(std::size_t number)
{
    m_entries.at(number) = std::make_unique<DirectEntry>();
    m_entries.at(number)->startOnUnusedPorts(entryName(number), "dc", m_links.at(number)->port(),
                                             m_rollouts);
    BOOST_REQUIRE(eventually([&] { return m_entries.at(number)->readiness() == okStatus; }));
}

void SmallFleet::list(std::size_t upstream, const Listed &listed)
{
    m_upstreams.at(upstream)->born = reportsBorn ? listed.born : 0;
    const auto link = m_upstreamLinks.find(upstream);
    const unsigned short port =
        link == m_upstreamLinks.end() ? m_upstreams.at(upstream)->port() : link->second->port();
    listAt(upstreamName(upstream), port, listed);
}

void SmallFleet::listBehindLink(std::size_t upstream, const Listed &listed)
{
    const auto address = asio::ip::make_address("127.0.0.1");
    m_upstreamLinks[upstream] =
        std::make_unique<LinkRelay>(m_context, tcp::endpoint(address, freePort()),
                                    tcp::endpoint(address, m_upstreams.at(upstream)->port()));
    list(upstream, listed);
}

void SmallFleet::setListening(std::size_t upstream, bool listening)
{
    std::promise<void> set;
    asio::post(m_context, [&] {
        m_upstreamLinks.at(upstream)->setListening(listening);
        set.set_value();
    });
    set.get_future().wait();
}

void SmallFleet::listAt(const std::string &name, unsigned short port, const Listed &listed)
{
    const json::object entry{{"service", listed.service},
                             {"address", "127.0.0.1:" + std::to_string(port)},
                             {"zone", "dc"},
                             {"slots", listed.slots},
                             {"state", listed.state},
                             {"version", listed.version},
                             {"born", listed.born}};
    m_store.with([&](PlatformStore &store) {
        if (store.get("servers", name).status == okStatus)
            store.replace("servers", name, entry, 0);
        else
            store.create("servers", name, entry);
    });
}

void SmallFleet::routeStreams(const std::vector<std::string> &services)
{
    json::array split;
    for (const std::string &service : services)
        split.emplace_back(json::object{{"service", service}, {"weight", 1}});
    m_store.with([&](PlatformStore &store) {
        store.replace("config", "main", configuration(++m_configVersion, split), 0);
    });
}

void SmallFleet::unlist(std::size_t upstream)
{
    m_store.with([&](PlatformStore &store) { store.remove("servers", upstreamName(upstream)); });
}

void SmallFleet::listOdd(const std::string &text)
{
    const std::string name = "odd-" + std::to_string(m_oddEntries++);
    m_store.substitute("content of " + name, text);
    m_store.with([&](PlatformStore &store) {
        store.create("servers", name, json::string("content of " + name));
    });
}

bool SmallFleet::entryFollowsList(std::size_t entry, std::size_t former, std::size_t next)
{
    list(next, {});
    unlist(former);
    int number = 0;
    return eventually([&] {
        const std::string id = std::to_string(entry) + "-" + std::to_string(++number);
        const std::string answer = get(entry, "/read/x", id);
        return answer.find("signed-by-" + upstreamName(next)) != std::string::npos;
    });
}

void SmallFleet::silenceStoreConnections(std::size_t entry)
{
    asio::post(m_context, [this, entry] { m_links.at(entry)->swallow(); });
}

void SmallFleet::cutFromStore(std::size_t entry)
{
    asio::post(m_context, [this, entry] { m_links.at(entry)->setFault(LinkFault::Silent); });
}

std::string SmallFleet::requestText(std::string_view path, std::string_view requestId,
                                    std::string_view headers)
{
    std::string request = "GET ";
    request.append(path).append(" HTTP/1.1\r\nHost: h.example\r\nRequest-Id: ").append(requestId);
    request.append("\r\nDeadline-Ms: 2000\r\n").append(headers);
    return request.append("Connection: close\r\n\r\n");
}

std::string SmallFleet::get(std::size_t entry, std::string_view path, std::string_view requestId,
                            std::string_view headers) const
{
    return exchangeBytes(m_entries.at(entry)->callerPort(), requestText(path, requestId, headers));
}

std::string SmallFleet::leaveAfter(std::size_t entry, std::string_view path,
                                   std::string_view requestId, std::string_view text) const
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), m_entries.at(entry)->callerPort()});
    asio::write(socket, asio::buffer(requestText(path, requestId, "")));
    std::string received;
    boost::system::error_code ended;
    asio::read_until(socket, asio::dynamic_buffer(received), text, ended);
    return received;
}

} // namespace tamarack::harness
