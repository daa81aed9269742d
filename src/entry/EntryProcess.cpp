#include "entry/EntryProcess.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "base/Log.h"
#include "base/Metrics.h"
#include "claims/ClaimBook.h"
#include "control/AdminApi.h"
#include "control/MetricsReport.h"
#include "entry/CallerApi.h"
#include "http/HttpServer.h"
#include "peer/PeerLink.h"
#include "process/Contexts.h"
#include "process/Supervisor.h"
#include "process/Timers.h"
#include "sched/EntryCore.h"
#include "store/ClaimStore.h"
#include "store/HostList.h"
#include "store/ObjectStore.h"
#include "store/QuarantineStore.h"

#include <algorithm>
#include <atomic>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>

namespace tamarack {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t claimShards = 1;
constexpr milliseconds busyTick{5};
constexpr milliseconds idleTick{20};
constexpr milliseconds storeTimeout{500};
constexpr milliseconds configRetry{300};
constexpr milliseconds configWatch{10'000};
constexpr milliseconds hostListInterval{500};
constexpr milliseconds quarantineInterval{1000};
constexpr milliseconds handshakeBound{2000};
constexpr milliseconds connectBound{1000};
constexpr milliseconds reconnectDelay{200};
/// How long a draining entry goes on showing that it is not ready before it stops accepting.
constexpr milliseconds drainNotice{1000};

std::int64_t wallSeconds()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(time).count();
}

EntryOptions entryOptions(const Settings &settings)
{
    EntryOptions options;
    options.name = settings.name;
    options.dataCentre = settings.dataCentre;
    options.incarnation = randomBits64();
    options.heartbeat = settings.timing.heartbeat;
    options.silence = settings.timing.silence;
    options.settleBound = settings.timing.settleBound;
    return options;
}

ClaimShardOptions claimOptions(const Settings &settings, Incarnation incarnation)
{
    ClaimShardOptions options;
    options.batchDelay = settings.timing.claimBatch;
    options.retentionSeconds =
        std::chrono::duration_cast<std::chrono::seconds>(settings.timing.keyRetention).count();
    options.writer = incarnation;
    return options;
}

} // namespace

struct EntryProcess::Private : std::enable_shared_from_this<EntryProcess::Private>
{
    Private(Settings processSettings, Contexts &processContexts)
        : settings(std::move(processSettings))
        , contexts(processContexts)
        , options(entryOptions(settings))
        , core(options)
        , claims(claimShards, claimOptions(settings, options.incarnation))
        , callerApi(makeCallerPorts(), metrics)
        , adminApi(makeAdminPorts())
        , drainTimer(contexts.control())
        , supervisor(contexts.control().get_executor(), [this](const std::string &name) {
            logEvent(LogLevel::Error, "component_given_up", {{"component", name}});
            contexts.stop();
        })
    {
        callerApi.setTokens(settings.workspaces);
        adminApi.setTokens(settings.operators);
    }

    // --- ports ---

    template <typename Callback>
    void onControl(Callback callback)
    {
        asio::post(contexts.control(), [this, callback = std::move(callback)]() mutable {
            callback();
            pump();
        });
    }

    CallerPorts makeCallerPorts()
    {
        CallerPorts ports;
        ports.submit = [this](Submission submission, std::shared_ptr<CallerChannel> channel) {
            onControl([this, submission = std::move(submission), channel]() mutable {
                const RequestId id = core.submit(std::move(submission), steadyNow());
                channel->push({CallerSubmitted{id}});
                callers[id] = channel;
            });
        };
        ports.callerGone = [this](RequestId id) {
            onControl([this, id] {
                callers.erase(id);
                core.callerGone(id, steadyNow());
            });
        };
        ports.callerTook = [this](RequestId id, std::uint64_t bytes) {
            onControl([this, id, bytes] { core.callerTook(id, bytes, steadyNow()); });
        };
        ports.config = [this] { return sharedConfig.load(); };
        ports.ready = [this] { return sharedConfig.load() && linkCount > 0 && !draining; };
        ports.metricsText = [this] { return metricsText(); };
        return ports;
    }

    asio::awaitable<std::string> metricsText()
    {
        co_await asio::post(
            contexts.control(),
            asio::bind_executor(contexts.control().get_executor(), asio::use_awaitable));
        reportEntry(metrics, core);
        if (store) {
            metrics.set("tamarack_store_writes_total", "", store->writes());
            metrics.set("tamarack_store_reads_total", "", store->reads());
        }
        co_return metrics.prometheusText();
    }

    AdminPorts makeAdminPorts()
    {
        AdminPorts ports;
        ports.core = [this]() -> EntryCore & { return core; };
        ports.store = [this] { return store.get(); };
        ports.applyConfig = [this](const FleetConfigPtr &config) { applyConfig(config); };
        ports.release = [this](Fingerprint fingerprint) {
            const bool released = core.release(fingerprint, steadyNow());
            pump();
            return released;
        };
        ports.knowsUpstream = [this](std::string_view name) { return knowsUpstream(name); };
        return ports;
    }

    bool knowsUpstream(std::string_view name) const
    {
        return gateNames.contains(std::string(name))
               || (core.config() && core.config()->marks.contains(name));
    }

    // --- actions ---

    void pump()
    {
        for (const EntryAction &action : core.takeActions(steadyNow()))
            std::visit([this](const auto &item) { act(item); }, action);
        for (auto &[id, events] : std::exchange(outbox, {})) {
            const auto caller = callers.find(id);
            if (caller == callers.end())
                continue;
            caller->second->push(std::move(events));
            if (ended.erase(id) > 0)
                callers.erase(caller);
        }
        publishConfig();
        runClaims();
        if (onDrained && callers.empty() && core.requestCount() == 0)
            std::exchange(onDrained, nullptr)();
    }

    void publishConfig()
    {
        if (core.config() == sharedConfig.load())
            return;
        sharedConfig.store(core.config());
        logEvent(
            LogLevel::Info, "config_applied",
            {{"generation", core.config()->generation}, {"preset", core.config()->presetInForce}});
    }

    void act(const entry::Send &action)
    {
        if (const auto link = links.find(action.link); link != links.end())
            link->second->send(action.message);
    }

    void act(const entry::Head &action)
    {
        outbox[action.request].push_back(CallerHead{action.status, action.contentType});
    }

    void act(const entry::Bytes &action)
    {
        outbox[action.request].push_back(CallerBytes{action.bytes});
    }

    void act(const entry::Finish &action)
    {
        outbox[action.request].push_back(CallerFinish{});
        ended.insert(action.request);
    }

    void act(const entry::Fail &action)
    {
        outbox[action.request].push_back(CallerFail{action.kind});
        ended.insert(action.request);
    }

    void act(const entry::Claim &action)
    {
        if (store)
            claims.submit(action.record, steadyNow());
        else
            core.claimResult(action.request, {}, steadyNow());
    }

    void act(const entry::CloseLink &action)
    {
        if (const auto link = links.find(action.link); link != links.end())
            link->second->close();
    }

    // --- claims ---

    void runClaims()
    {
        for (std::size_t index = 0; store && index < claims.size(); ++index) {
            if (auto call = claims.shard(index).takeCall(steadyNow()))
                spawnClaimCall(index, std::move(*call));
        }
        for (const claims::Answer &answer : claims.takeAnswers())
            core.claimResult(answer.request, answer.result, steadyNow());
    }

    void spawnClaimCall(std::size_t index, ClaimCall call)
    {
        auto shared = std::make_shared<ClaimCall>(std::move(call));
        asio::co_spawn(
            contexts.control(),
            [self = shared_from_this(), index, shared] { return self->claimCall(index, shared); },
            asio::detached);
    }

    asio::awaitable<void> claimCall(std::size_t index, std::shared_ptr<ClaimCall> call)
    {
        const ClaimCallResult result = co_await makeClaimCall(*store, *call);
        claims.shard(index).callDone(result, steadyNow());
        pump();
    }

    // --- components ---

    asio::awaitable<void> tickLoop()
    {
        while (true) {
            core.tick(steadyNow());
            claims.tick(steadyNow(), wallSeconds());
            pump();
            const Duration interval = core.requestCount() > 0 ? busyTick : idleTick;
            co_await pause(interval);
        }
    }

    asio::awaitable<void> configLoop()
    {
        std::string statusKey = "status/" + settings.name;
        std::string statusText = hex64(options.incarnation);
        const auto status = co_await store->put(std::move(statusKey), std::move(statusText));
        ObjectVersion notOlderThan = status.value_or(0);
        while (true) {
            const auto object = co_await nextConfig(notOlderThan);
            if (object)
                parseAndApply(object->value, object->version);
            const bool unchanged = !object && object.error().kind == ErrorKind::Timeout;
            if (!object && !unchanged)
                co_await pause(configRetry);
        }
    }

    asio::awaitable<Result<StoredObject>> nextConfig(ObjectVersion notOlderThan)
    {
        std::string key = "config";
        const FleetConfigPtr config = core.config();
        if (!config)
            co_return co_await store->read(std::move(key), notOlderThan);
        co_return co_await store->watch(std::move(key), config->generation, configWatch);
    }

    void parseAndApply(const std::string &text, Generation generation)
    {
        const auto config = parseFleetConfig(text, generation);
        if (config)
            applyConfig(*config);
        else
            logEvent(LogLevel::Error, "config_invalid",
                     {{"generation", generation}, {"faults", toString(config.error())}});
    }

    void applyConfig(const FleetConfigPtr &config)
    {
        core.applyConfig(config, steadyNow());
        pump();
    }

    /// Keeps the quarantine in the object API; reads it when the process starts.
    asio::awaitable<void> quarantineLoop()
    {
        std::size_t storedRows = std::numeric_limits<std::size_t>::max();
        while (true) {
            std::vector<FingerprintReport> known = core.quarantine().rows();
            if (known.size() != storedRows) {
                const auto stored = co_await syncQuarantine(*store, std::move(known));
                if (stored) {
                    storedRows = stored->size();
                    core.learnFingerprints(*stored, steadyNow());
                    pump();
                }
            }
            co_await pause(quarantineInterval);
        }
    }

    asio::awaitable<void> hostListLoop()
    {
        HostList list(contexts.control().get_executor(), *settings.hostList);
        while (true) {
            const auto hosts = co_await list.fetch();
            if (hosts)
                learnHosts(*hosts);
            co_await pause(hostListInterval);
        }
    }

    void learnHosts(const std::vector<ListedHost> &hosts)
    {
        std::vector<std::string> leaving;
        for (const ListedHost &host : hosts) {
            if (host.role != "upstream")
                continue;
            if (host.leaving)
                leaving.push_back(host.name);
            if (host.peer.port != 0)
                addGate(host.name, host.peer);
        }
        core.setLeavingHosts(std::move(leaving), steadyNow());
        pump();
    }

    void addGate(const std::string &name, const Endpoint &endpoint)
    {
        if (!gateNames.insert(name).second)
            return;
        supervisor.start("gate-" + name, [self = shared_from_this(), name, endpoint] {
            return self->gateLoop(name, endpoint);
        });
    }

    asio::awaitable<void> gateLoop(std::string name, Endpoint endpoint)
    {
        while (true) {
            co_await serveGate(name, endpoint);
            co_await pause(reconnectDelay);
        }
    }

    asio::awaitable<Result<tcp::socket>> connect(Endpoint endpoint)
    {
        boost::beast::tcp_stream stream(contexts.control());
        stream.expires_after(connectBound);
        const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
        const auto [error] =
            co_await stream.async_connect(address, asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return failure(ErrorKind::IoFailed, error.message());
        co_return stream.release_socket();
    }

    asio::awaitable<void> serveGate(std::string name, Endpoint endpoint)
    {
        auto socket = co_await connect(endpoint);
        if (!socket)
            co_return;
        PeerIdentity own{settings.name, "entry", settings.dataCentre, options.incarnation,
                         randomBits64()};
        const auto link = co_await PeerLink::makeLink(std::move(*socket), std::move(own),
                                                      settings.peerKey, handshakeBound);
        if (!link || (*link)->peer().role != "upstream" || (*link)->peer().name != name) {
            metrics.add("tamarack_peer_rejected_total", "");
            logEvent(LogLevel::Warning, "peer_rejected",
                     {{"peer", name},
                      {"reason", link ? "another process answers" : link.error().message}});
            co_return;
        }
        co_await serveLink(*link);
    }

    asio::awaitable<void> serveLink(std::shared_ptr<PeerLink> link)
    {
        const GateLinkId id = ++lastLink;
        const PeerIdentity &peer = link->peer();
        links[id] = link;
        ++linkCount;
        logEvent(LogLevel::Info, "link_up", {{"peer", peer.name}, {"link", id}});
        core.linkUp(id, {peer.name, peer.dataCentre, peer.incarnation}, steadyNow());
        pump();
        while (true) {
            const auto messages = co_await link->receive();
            if (!messages)
                break;
            for (const PeerMessage &message : *messages)
                core.receive(id, message, steadyNow());
            pump();
        }
        logEvent(LogLevel::Info, "link_down", {{"peer", peer.name}, {"link", id}});
        link->close();
        links.erase(id);
        --linkCount;
        core.linkDown(id, steadyNow());
        pump();
    }

    Result<void> open()
    {
        const HttpLimits limits{settings.limits.headerBytes, settings.limits.bodyBytes,
                                settings.limits.connections,
                                static_cast<int>(settings.limits.readTimeout.count())};
        auto caller = HttpServer::makeServer(
            settings.caller, limits, contexts.traffic(),
            [this](HttpExchange &exchange) { return callerApi.serve(exchange); });
        if (!caller)
            return tl::unexpected(caller.error());
        callerServer = std::move(*caller);
        asio::io_context *control = &contexts.control();
        auto admin = HttpServer::makeServer(
            settings.admin, limits, {&control, 1},
            [this](HttpExchange &exchange) { return adminApi.serve(exchange); });
        if (!admin)
            return tl::unexpected(admin.error());
        adminServer = std::move(*admin);
        return {};
    }

    void startComponents()
    {
        const auto self = shared_from_this();
        if (settings.objectApi) {
            store = std::make_unique<ObjectStore>(contexts.control().get_executor(),
                                                  *settings.objectApi, storeTimeout);
            supervisor.start("quarantine", [self] { return self->quarantineLoop(); });
            supervisor.start("config", [self] { return self->configLoop(); });
        }
        supervisor.start("ticker", [self] { return self->tickLoop(); });
        for (const SeedSettings &seed : settings.seeds)
            addGate(seed.name, seed.endpoint);
        if (settings.hostList)
            supervisor.start("host-list", [self] { return self->hostListLoop(); });
    }

    void drain(std::function<void()> done)
    {
        draining = true;
        logEvent(LogLevel::Info, "drain_started", {{"held", core.requestCount()}});
        drainTimer.expires_after(drainNotice);
        drainTimer.async_wait([this, done = std::move(done)](boost::system::error_code) {
            callerServer->stopAccepting();
            core.setDraining(true);
            onDrained = done;
            pump();
        });
    }

    Settings settings;
    Contexts &contexts;
    EntryOptions options;
    EntryCore core;
    ClaimBook claims;
    Metrics metrics;
    CallerApi callerApi;
    AdminApi adminApi;
    asio::steady_timer drainTimer;
    std::unique_ptr<ObjectStore> store;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> adminServer;
    Supervisor supervisor;
    std::map<GateLinkId, std::shared_ptr<PeerLink>> links;
    std::set<std::string> gateNames;
    std::unordered_map<RequestId, std::shared_ptr<CallerChannel>> callers;
    std::unordered_map<RequestId, std::vector<CallerEvent>> outbox;
    std::set<RequestId> ended;
    std::atomic<FleetConfigPtr> sharedConfig;
    std::atomic<std::size_t> linkCount{0};
    std::atomic<bool> draining{false};
    std::function<void()> onDrained;
    GateLinkId lastLink = 0;
};

EntryProcess::EntryProcess(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{}

EntryProcess::~EntryProcess() = default;

Result<std::unique_ptr<EntryProcess>> EntryProcess::makeProcess(Settings settings,
                                                                Contexts &contexts)
{
    auto p = std::make_shared<Private>(std::move(settings), contexts);
    if (auto opened = p->open(); !opened)
        return tl::unexpected(opened.error());
    p->startComponents();
    return std::unique_ptr<EntryProcess>(new EntryProcess(std::move(p)));
}

void EntryProcess::drain(std::function<void()> done)
{
    m_private->drain(std::move(done));
}

void EntryProcess::reload(const Settings &settings)
{
    setLogLevel(settings.logLevel);
    m_private->callerApi.setTokens(settings.workspaces);
    m_private->adminApi.setTokens(settings.operators);
    for (const SeedSettings &seed : settings.seeds)
        m_private->addGate(seed.name, seed.endpoint);
}

} // namespace tamarack
