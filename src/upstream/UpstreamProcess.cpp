#include "upstream/UpstreamProcess.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "base/Log.h"
#include "base/Metrics.h"
#include "control/MetricsReport.h"
#include "gate/GateCore.h"
#include "http/HttpServer.h"
#include "peer/PeerLink.h"
#include "process/Contexts.h"
#include "process/Supervisor.h"
#include "process/Timers.h"
#include "store/HostList.h"
#include "store/ObjectStore.h"
#include "upstream/EngineOrders.h"
#include "upstream/UpstreamClient.h"

#include <map>
#include <set>

namespace tamarack {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr milliseconds busyTick{10};
constexpr milliseconds idleTick{40};
constexpr milliseconds probeInterval{200};
constexpr milliseconds storeTimeout{1000};
constexpr milliseconds handshakeBound{2000};
constexpr milliseconds hostListInterval{500};
constexpr milliseconds orderInterval{500};
constexpr std::string_view servicePrefix = "service:";

GateOptions gateOptions(const Settings &settings)
{
    GateOptions options;
    options.name = settings.name;
    options.dataCentre = settings.dataCentre;
    options.incarnation = randomBits64();
    options.engine = settings.upstream.kind == "engine";
    options.targets = settings.upstream.targets;
    if (!options.engine)
        options.targets = {std::string(servicePrefix) + settings.upstream.targets.front()};
    options.capacity = settings.upstream.capacity;
    options.adaptiveLimit = options.engine;
    options.creditLife = settings.timing.creditLife;
    options.silence = settings.timing.silence;
    options.heartbeat = settings.timing.heartbeat;
    options.keyRetention = settings.timing.keyRetention;
    options.keptAnswerBytes = settings.limits.keptAnswerBytes;
    options.seed = options.incarnation;
    return options;
}

} // namespace

struct UpstreamProcess::Private : std::enable_shared_from_this<UpstreamProcess::Private>
{
    Private(Settings processSettings, Contexts &processContexts)
        : settings(std::move(processSettings))
        , contexts(processContexts)
        , options(gateOptions(settings))
        , core(options)
        , client(contexts, settings.upstream, makeEvents())
        , acceptor(contexts.control())
        , supervisor(contexts.control().get_executor(), [this](const std::string &name) {
            logEvent(LogLevel::Error, "component_given_up", {{"component", name}});
            contexts.stop();
        })
    {}

    UpstreamEvents makeEvents()
    {
        UpstreamEvents events;
        events.head = [this](RequestId id, std::uint16_t status, const std::string &type) {
            core.answerHead(id, status, type, steadyNow());
            pump();
        };
        events.bytes = [this](RequestId id, const std::string &bytes, int tokens) {
            core.answerBytes(id, bytes, tokens, steadyNow());
            if (core.shouldPauseReading(id)) {
                paused.insert(id);
                client.setPaused(id, true);
            }
            pump();
        };
        events.end = [this](RequestId id, bool complete) {
            core.answerEnd(id, complete, steadyNow());
            pump();
        };
        events.refused = [this](RequestId id) {
            core.engineRefused(id, steadyNow());
            pump();
        };
        events.startFailed = [this](RequestId id) {
            core.startFailed(id, steadyNow());
            pump();
        };
        events.broken = [this](RequestId id) { probeAfterLoss(id); };
        return events;
    }

    /// A lost stream is resumed or given up depending on what became of the engine.
    void probeAfterLoss(RequestId id)
    {
        asio::co_spawn(
            contexts.control(),
            [self = shared_from_this(), id]() -> asio::awaitable<void> {
                co_await self->probeOnce();
                self->core.streamBroken(id, steadyNow());
                self->pump();
            },
            asio::detached);
    }

    asio::awaitable<void> probeOnce()
    {
        const ProbeResult result = co_await client.probe();
        if (result.health != lastHealth)
            logEvent(LogLevel::Warning, "upstream_health",
                     {{"up", result.health == EngineHealth::Up}, {"boot", hex64(result.boot)}});
        lastHealth = result.health;
        core.engineHealth(result.health, result.boot, steadyNow());
        if (options.engine && !result.models.empty()) {
            servedModels = result.models;
            core.setTargets(result.models);
        }
        pump();
    }

    asio::awaitable<void> probeLoop()
    {
        while (true) {
            co_await probeOnce();
            co_await pause(probeInterval);
        }
    }

    asio::awaitable<void> tickLoop()
    {
        while (true) {
            core.tick(steadyNow());
            std::erase_if(paused, [this](RequestId id) {
                if (core.shouldPauseReading(id))
                    return false;
                client.setPaused(id, false);
                return true;
            });
            pump();
            const Duration interval = core.idle() ? idleTick : busyTick;
            co_await pause(interval);
        }
    }

    asio::awaitable<void> acceptLoop()
    {
        while (acceptor.is_open()) {
            auto [error, socket] =
                co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error)
                continue;
            auto shared = std::make_shared<tcp::socket>(std::move(socket));
            asio::co_spawn(
                contexts.control(),
                [self = shared_from_this(), shared] { return self->serveLink(shared); },
                asio::detached);
        }
    }

    PeerIdentity ownIdentity() const
    {
        return {settings.name, "upstream", settings.dataCentre, options.incarnation,
                randomBits64()};
    }

    asio::awaitable<void> serveLink(std::shared_ptr<tcp::socket> socket)
    {
        const auto link = co_await PeerLink::makeLink(std::move(*socket), ownIdentity(),
                                                      settings.peerKey, handshakeBound);
        if (!link || (*link)->peer().role != "entry") {
            metrics.add("tamarack_peer_rejected_total", "");
            logEvent(LogLevel::Warning, "peer_rejected",
                     {{"reason", link ? "not an entry" : link.error().message}});
            co_return;
        }
        const LinkId id = ++lastLink;
        links[id] = *link;
        const PeerIdentity &peer = (*link)->peer();
        logEvent(LogLevel::Info, "link_up", {{"peer", peer.name}, {"link", id}});
        core.linkUp(id, {peer.name, peer.dataCentre, peer.incarnation}, steadyNow());
        pump();
        co_await readLoop(id, *link);
        logEvent(LogLevel::Info, "link_down", {{"peer", peer.name}, {"link", id}});
        links.erase(id);
        core.linkDown(id, steadyNow());
        pump();
    }

    asio::awaitable<void> readLoop(LinkId id, std::shared_ptr<PeerLink> link)
    {
        while (true) {
            const auto messages = co_await link->receive();
            if (!messages) {
                if (messages.error().kind == ErrorKind::PeerRejected)
                    logEvent(LogLevel::Warning, "peer_rejected",
                             {{"reason", messages.error().message}});
                link->close();
                co_return;
            }
            for (const PeerMessage &message : *messages)
                core.receive(id, message, steadyNow());
            pump();
        }
    }

    void pump()
    {
        for (GateAction &action : core.takeActions())
            std::visit([this](auto &item) { act(item); }, action);
        if (onDrained && core.idle())
            finishDrain();
    }

    void act(const gate::Send &action)
    {
        if (const auto link = links.find(action.link); link != links.end())
            link->second->send(action.message);
    }

    void act(gate::Start &action)
    {
        logEvent(LogLevel::Debug, "request_started", {{"request", toString(action.request)}});
        client.start(std::move(action));
    }

    void act(const gate::CancelStream &action) { client.cancel(action.request); }
    void act(const gate::ResumeStream &action) { client.resume(action); }

    void act(const gate::CloseLink &action)
    {
        if (const auto link = links.find(action.link); link != links.end())
            link->second->close();
    }

    void finishDrain()
    {
        // Acknowledgements of the last answers have been seen, so nothing is cut off.
        const auto done = std::exchange(onDrained, nullptr);
        done();
    }

    asio::awaitable<void> readConfig()
    {
        if (!store)
            co_return;
        std::string statusKey = "status/" + settings.name;
        std::string statusText = hex64(options.incarnation);
        const auto status = co_await store->put(std::move(statusKey), std::move(statusText));
        std::string configKey = "config";
        const auto object = co_await store->read(std::move(configKey), status.value_or(0));
        if (!object)
            co_return;
        const auto config = parseFleetConfig(object->value, object->version);
        if (config)
            core.applyConfig(*config, steadyNow());
        pump();
    }

    asio::awaitable<void> orderLoop()
    {
        EngineOrders::Ports ports;
        ports.config = [this] { return core.config(); };
        ports.applyConfig = [this](const FleetConfigPtr &config) {
            core.applyConfig(config, steadyNow());
            pump();
        };
        ports.servedModels = [this] { return servedModels; };
        EngineOrders orders({settings.name, options.incarnation}, settings.upstream.checksFencing,
                            std::move(ports), *store, client);
        while (true) {
            co_await orders.reconcile();
            co_await pause(orderInterval);
        }
    }

    asio::awaitable<void> hostListLoop()
    {
        HostList list(contexts.control().get_executor(), *settings.hostList);
        while (true) {
            const auto hosts = co_await list.fetch();
            if (hosts) {
                core.setLeaving(stopping || isLeaving(*hosts, settings.name), steadyNow());
                pump();
            }
            co_await pause(hostListInterval);
        }
    }

    asio::awaitable<void> startUp()
    {
        if (options.engine) {
            for (const RunningStream &stream : co_await client.runningStreams())
                core.adopt(stream, steadyNow());
        }
        co_await readConfig();
        asio::co_spawn(
            contexts.control(), [self = shared_from_this()] { return self->acceptLoop(); },
            asio::detached);
    }

    Result<void> open()
    {
        boost::system::error_code error;
        const tcp::endpoint endpoint(asio::ip::make_address(settings.peer.address, error),
                                     settings.peer.port);
        acceptor.open(endpoint.protocol(), error);
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
        acceptor.bind(endpoint, error);
        if (!error)
            acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error)
            return failure(ErrorKind::IoFailed,
                           "cannot listen on " + toString(settings.peer) + ": " + error.message());
        return openAdmin();
    }

    Result<void> openAdmin()
    {
        asio::io_context *control = &contexts.control();
        const HttpLimits limits{settings.limits.headerBytes, settings.limits.bodyBytes, 64};
        auto server =
            HttpServer::makeServer(settings.admin, limits, {&control, 1},
                                   [this](HttpExchange &exchange) { return serveAdmin(exchange); });
        if (!server)
            return tl::unexpected(server.error());
        admin = std::move(*server);
        return {};
    }

    asio::awaitable<void> serveAdmin(HttpExchange &exchange)
    {
        const std::string_view path = exchange.request().path();
        HttpResponse response{404, {{"Content-Type", "text/plain"}}, "not found\n"};
        if (path == "/metrics") {
            reportGate(metrics, core);
            response.status = 200;
            response.body = metrics.prometheusText();
        } else if (path == "/healthz" || path == "/readyz") {
            const bool ready = path == "/healthz" || (core.config() && core.status().engineUp);
            response.status = ready ? 200 : 503;
            response.body = ready ? "ok\n" : "not ready\n";
        }
        co_await exchange.respond(std::move(response));
    }

    void startComponents()
    {
        const auto self = shared_from_this();
        if (settings.objectApi)
            store = std::make_unique<ObjectStore>(contexts.control().get_executor(),
                                                  *settings.objectApi, storeTimeout);
        supervisor.start("start-up", [self] { return self->startUp(); });
        supervisor.start("probe", [self] { return self->probeLoop(); });
        if (store && options.engine)
            supervisor.start("orders", [self] { return self->orderLoop(); });
        supervisor.start("ticker", [self] { return self->tickLoop(); });
        if (settings.hostList)
            supervisor.start("host-list", [self] { return self->hostListLoop(); });
    }

    Settings settings;
    Contexts &contexts;
    GateOptions options;
    GateCore core;
    UpstreamClient client;
    Metrics metrics;
    tcp::acceptor acceptor;
    std::unique_ptr<ObjectStore> store;
    std::unique_ptr<HttpServer> admin;
    Supervisor supervisor;
    std::vector<std::string> servedModels;
    std::map<LinkId, std::shared_ptr<PeerLink>> links;
    std::set<RequestId> paused;
    std::function<void()> onDrained;
    EngineHealth lastHealth = EngineHealth::Down;
    LinkId lastLink = 0;
    bool stopping = false;
};

UpstreamProcess::UpstreamProcess(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{}

UpstreamProcess::~UpstreamProcess() = default;

Result<std::unique_ptr<UpstreamProcess>> UpstreamProcess::makeProcess(Settings settings,
                                                                      Contexts &contexts)
{
    auto p = std::make_shared<Private>(std::move(settings), contexts);
    if (auto opened = p->open(); !opened)
        return tl::unexpected(opened.error());
    p->startComponents();
    return std::unique_ptr<UpstreamProcess>(new UpstreamProcess(std::move(p)));
}

void UpstreamProcess::drain(std::function<void()> done)
{
    auto &p = *m_private;
    p.stopping = true;
    p.onDrained = std::move(done);
    p.core.setLeaving(true, steadyNow());
    logEvent(LogLevel::Info, "drain_started", {{"in_flight", p.core.status().inFlight}});
    p.pump();
}

void UpstreamProcess::reload(const Settings &settings)
{
    setLogLevel(settings.logLevel);
}

} // namespace tamarack
