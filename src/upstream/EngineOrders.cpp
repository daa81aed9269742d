#include "upstream/EngineOrders.h"

#include "base/AsioPch.h"
#include "base/Log.h"

#include <algorithm>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr int releaseAttempts = 10;
constexpr milliseconds releaseRetry{300};

std::string permitKey()
{
    return "permits/loads";
}

} // namespace

EngineOrders::EngineOrders(LoadHolder self, bool checksFencing, Ports ports, ObjectStore &store,
                           UpstreamClient &client)
    : m_self(self)
    , m_checksFencing(checksFencing)
    , m_ports(std::move(ports))
    , m_store(store)
    , m_client(client)
    , m_permits(std::move(self))
{}

std::vector<std::string> EngineOrders::wantedModels(const FleetConfig &config) const
{
    const auto &placement = config.preset().placement;
    const auto found = placement.find(m_self.name);
    std::vector<std::string> models;
    if (found != placement.end())
        models = found->second;
    std::ranges::sort(models);
    return models;
}

bool EngineOrders::isSatisfied(const FleetConfig &config) const
{
    const auto wanted = wantedModels(config);
    auto served = m_ports.servedModels();
    std::ranges::sort(served);
    return wanted.empty() || wanted == served;
}

asio::awaitable<void> EngineOrders::reconcile()
{
    const FleetConfigPtr before = m_ports.config();
    if (!before || isSatisfied(*before))
        co_return;
    const bool confirmed = co_await confirmGeneration();
    if (!confirmed && !m_checksFencing)
        co_return;
    const bool permitted =
        co_await acquire(static_cast<std::size_t>(m_ports.config()->preset().loadPermits));
    if (!permitted)
        co_return;
    // The wait for the permit may have been long: decide on what is newest now.
    const bool stillNewest = co_await confirmGeneration();
    const FleetConfigPtr config = m_ports.config();
    if ((stillNewest || m_checksFencing) && !isSatisfied(*config)) {
        const auto done = co_await m_client.order(config->generation, wantedModels(*config));
        logEvent(done ? LogLevel::Info : LogLevel::Warning, "engine_order",
                 {{"generation", config->generation},
                  {"result", done ? std::string("done") : done.error().message}});
    }
    co_await release();
}

/// True when the object API shows no newer configuration than the one in force here.
asio::awaitable<bool> EngineOrders::confirmGeneration()
{
    std::string key = "config";
    const auto object = co_await m_store.read(std::move(key), m_seen);
    if (!object)
        co_return false;
    m_seen = std::max(m_seen, object->version);
    const auto config = parseFleetConfig(object->value, object->version);
    if (config)
        m_ports.applyConfig(*config);
    co_return config &&m_ports.config()->generation == object->version;
}

asio::awaitable<bool> EngineOrders::acquire(std::size_t permits)
{
    std::string key = permitKey();
    const auto object = co_await m_store.read(std::move(key), m_seen);
    if (!object && object.error().kind != ErrorKind::NotFound)
        co_return false;
    const ObjectVersion version = object ? object->version : 0;
    const auto holders = parseLoadHolders(object ? object->value : "");
    if (!holders)
        co_return false;
    auto next = m_permits.acquire(*holders, permits, std::chrono::steady_clock::now());
    if (!next)
        co_return false;
    if (*next == *holders)
        co_return true;
    co_return co_await writeHolders(std::move(*next), version);
}

asio::awaitable<bool> EngineOrders::writeHolders(std::vector<LoadHolder> holders,
                                                 ObjectVersion version)
{
    std::string key = permitKey();
    std::string value = encodeLoadHolders(holders);
    if (version == 0) {
        const auto created = co_await m_store.create(std::move(key), std::move(value));
        co_return created.has_value();
    }
    const auto updated = co_await m_store.update(std::move(key), std::move(value), version);
    co_return updated.has_value();
}

asio::awaitable<void> EngineOrders::release()
{
    for (int attempt = 0; attempt < releaseAttempts; ++attempt) {
        std::string key = permitKey();
        const auto object = co_await m_store.read(std::move(key), m_seen);
        if (object) {
            const auto holders = parseLoadHolders(object->value);
            auto next = holders ? m_permits.release(*holders) : std::nullopt;
            if (!next)
                co_return;
            const bool written = co_await writeHolders(std::move(*next), object->version);
            if (written)
                co_return;
        }
        asio::steady_timer timer(co_await asio::this_coro::executor, releaseRetry);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace tamarack
