#include "direct/DirectProcess.h"

#include "base/AsioPch.h"
#include "base/ConnectionBudget.h"
#include "base/Log.h"
#include "base/Metrics.h"
#include "direct/PeerExchange.h"
#include "direct/RequestFlow.h"
#include "direct/RolloutFollower.h"
#include "direct/StoreFollower.h"
#include "direct/TrafficState.h"
#include "http/HttpServer.h"
#include "process/Contexts.h"
#include "process/Supervisor.h"
#include "process/Timers.h"

#include <algorithm>
#include <atomic>
#include <iterator>
#include <limits>
#include <optional>
#include <ranges>
#include <utility>

#include <sys/resource.h>

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr milliseconds tickInterval{100};
/// The load balancer checks readiness once per second and removes a host after two failed checks.
constexpr milliseconds balancerDetectionTime{2600};
/// Part of the stop grace period reserved for shutting down the process itself.
constexpr milliseconds shutdownReserve{700};
/// Time to send the last responses before the process shuts down.
constexpr milliseconds responseReserve{200};
constexpr milliseconds drainPoll{50};
constexpr int readyStatus = 200;
constexpr int notReadyStatus = 503;
constexpr int notFoundStatus = 404;
/// Part of the host's memory that clients may hold. The others are for the process itself, and for
/// what upstreams send.
constexpr std::size_t clientMemoryDivisor = 4;
/// Part of the descriptors that is kept for upstreams, other entries, the store and files.
constexpr std::size_t keptDescriptorsDivisor = 4;
constexpr milliseconds budgetReportInterval{1000};

std::size_t descriptorLimit(std::size_t configured)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return configured;
    const auto allowed = static_cast<std::size_t>(limit.rlim_cur);
    return configured == 0 ? allowed : std::min(configured, allowed);
}

/// A limit that is 0 in the settings does not hold.
ConnectionBudget::Limits connectionLimits(const LimitSettings &settings)
{
    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
    const auto limitOr = [](std::size_t limit) { return limit == 0 ? unlimited : limit; };
    const std::size_t descriptors = limitOr(descriptorLimit(settings.descriptors));
    const std::size_t connections = descriptors - descriptors / keptDescriptorsDivisor;
    return {limitOr(settings.memoryBytes) / clientMemoryDivisor,
            std::min(limitOr(settings.connections), connections)};
}

bool needsNoBody(std::string_view /*host*/, std::string_view /*path*/)
{
    return false;
}

} // namespace

struct DirectProcess::Private : std::enable_shared_from_this<DirectProcess::Private>
{
    Private(Settings processSettings, Contexts &processContexts)
        : settings(std::move(processSettings))
        , contexts(processContexts)
        , traffic(*contexts.traffic().front())
        , state(settings, traffic.get_executor(), metrics)
        , clients(std::make_shared<ConnectionBudget>(connectionLimits(settings.limits)))
        , supervisor(contexts.control().get_executor(),
                     [this](const std::string &) { contexts.stop(); })
        , storeFollower(contexts.control().get_executor(), settings, listener())
        , rolloutFollower(contexts.control().get_executor(), settings,
                          [this](std::vector<RolloutOrder> orders, BootTime readAt) {
                              asio::post(traffic, [this, orders = std::move(orders), readAt] {
                                  state.rollouts.applyOrders(orders, readAt);
                              });
                          })
        , proof(settings.direct.revokeBound, proofMargin)
    {}

    /// Returns callbacks that forward store updates from the control thread to the traffic thread.
    StoreListener listener()
    {
        StoreListener listener;
        listener.configChanged = [this](ServingConfigPtr config) {
            hasConfig = true;
            asio::post(traffic, [this, config = std::move(config)] { applyConfig(config); });
        };
        listener.configProved = [this](BootTime callStart) {
            proof.recordProof(callStart);
            asio::post(traffic, [this, callStart] { state.freshness.recordProof(callStart); });
        };
        listener.upstreamsChanged = [this](std::vector<UpstreamRecord> records) {
            hasUpstreams = true;
            asio::post(traffic,
                       [this, records = std::move(records)] { state.applyUpstreams(records); });
        };
        listener.upstreamsFollowed = [this](const UpstreamDelta &delta, UpstreamSource source,
                                            std::optional<BootTime> currentAt) {
            asio::post(traffic, [this, delta, source, currentAt] {
                state.applyUpstreamsFollowed(delta, source, currentAt);
            });
        };
        listener.originsRead = [this](std::vector<StreamOrigin> saved, bool own) {
            asio::post(traffic, [this, saved = std::move(saved), own] {
                state.applySavedOrigins(saved, own);
            });
        };
        listener.originsSaved = [this](bool succeeded) {
            asio::post(traffic, [this, succeeded] { state.originsSaved(succeeded); });
        };
        listener.versionsProved = [this](SoleVersions proved) {
            asio::post(traffic, [this, proved = std::move(proved)]() mutable {
                state.applySoleVersions(std::move(proved));
            });
        };
        listener.storeRestored = [this] {
            metrics.add("tamarack_store_restores_total", "");
            asio::post(traffic, [this] { state.saveOriginsAgain(); });
            if (settings.direct.rollouts)
                rolloutFollower.read();
        };
        listener.listingEnded = [this](std::string_view kind, std::string_view outcome) {
            metrics.add("tamarack_store_listings_total",
                        fmt::format("kind=\"{}\",outcome=\"{}\"", kind, outcome));
        };
        listener.entriesChanged = [this](std::map<std::string, Endpoint> entries) {
            asio::post(traffic, [this, entries = std::move(entries)] { applyEntries(entries); });
        };
        return listener;
    }

    /// Forwards store updates received from other entries to the control thread.
    void connectFollower()
    {
        const auto control = contexts.control().get_executor();
        state.onElected = [this, control](bool elected) {
            asio::post(control, [this, elected] { storeFollower.setElected(elected); });
        };
        state.onPeerUpdate = [this, control](std::uint64_t version, StorePosition upstreams) {
            asio::post(control, [this, version, upstreams] {
                storeFollower.recordReportedVersions(version, upstreams);
            });
        };
        state.onUpstreamsRelayed = [this, control](const UpstreamDelta &delta,
                                                   BootTime requestedAt) {
            asio::post(control, [this, delta, requestedAt] {
                storeFollower.applyRelayed(delta, requestedAt);
            });
        };
        state.onOriginsDue = [this, control](OriginSaving::Write write) {
            asio::post(control,
                       [this, write = std::move(write)] { storeFollower.saveOrigins(write); });
        };
        state.onStoreAnswerRelayed = [this, control](BootTime answeredAt) {
            asio::post(control,
                       [this, answeredAt] { storeFollower.recordRelayedAnswer(answeredAt); });
        };
        state.onProofRelayed = [this, control](BootTime relayed) {
            asio::post(control, [this, relayed] {
                storeFollower.applyProof(relayed);
                proof.recordProof(relayed);
            });
        };
    }

    void connectRollouts()
    {
        const auto control = contexts.control().get_executor();
        state.rollouts.onReadDue = [this, control] {
            asio::post(control, [this] { rolloutFollower.read(); });
        };
        state.rollouts.onStatusDue = [this, control](const RolloutStatusDue &due) {
            asio::post(control, [this, due] { rolloutFollower.writeStatus(due); });
        };
        state.rollouts.onDutyChanged = [this, control](bool elected, bool active) {
            asio::post(control,
                       [this, elected, active] { rolloutFollower.setDuty(elected, active); });
        };
    }

    void applyConfig(const ServingConfigPtr &config)
    {
        HttpLimits limits;
        limits.headerBytes = config->limits.headerBytes;
        limits.bodyBytes = config->limits.bodyBytes;
        limits.headerTimeoutMs = static_cast<int>(config->limits.headerTimeout.count());
        limits.idleTimeoutMs = static_cast<int>(config->limits.idleTimeout.count());
        limits.connections = settings.limits.connections;
        callerServer->setLimits(limits);
        state.applyConfig(config);
    }

    void applyEntries(const std::map<std::string, Endpoint> &entries)
    {
        std::set<std::string> names;
        std::map<std::string, Endpoint> peers = entries;
        peers.erase(settings.name);
        std::ranges::copy(entries | std::views::keys, std::inserter(names, names.end()));
        state.applyKnownEntries(names);
        exchange->setPeers(peers);
    }

    Result<void> open()
    {
        auto peers = PeerExchange::makeExchange(state);
        if (!peers)
            return tl::unexpected(peers.error());
        exchange = std::move(*peers);
        state.onLoadChanged = [this] { exchange->loadChanged(); };
        connectFollower();
        connectRollouts();
        exchange->start();
        const HttpLimits limits;
        asio::io_context *trafficContext = &traffic;
        asio::io_context *control = &contexts.control();
        const BodyFilter hasRoute = [this](std::string_view host, std::string_view path) {
            return isRouted(host, path);
        };
        if (auto opened = listen(callerServer, settings.caller, limits, trafficContext,
                                 [this](HttpExchange &request) { return serveCaller(request); },
                                 {clients, hasRoute});
            !opened)
            return opened;
        if (auto opened = listen(readinessServer, settings.direct.readiness, limits, control,
                                 [this](HttpExchange &request) { return serveReadiness(request); },
                                 {clients, needsNoBody});
            !opened)
            return opened;
        return listen(adminServer, settings.admin, limits, control,
                      [this](HttpExchange &request) { return serveMetrics(request); },
                      {clients, needsNoBody});
    }

    static Result<void> listen(std::unique_ptr<HttpServer> &server,
                               const ListenerSettings &listener, const HttpLimits &limits,
                               asio::io_context *context, HttpHandler handler,
                               ListenerGuards guards)
    {
        auto created = HttpServer::makeServer(listener, limits, {&context, 1}, std::move(handler),
                                              std::move(guards));
        if (!created)
            return tl::unexpected(created.error());
        server = std::move(*created);
        return {};
    }

    asio::awaitable<void> serveCaller(HttpExchange &request)
    {
        const auto flow = std::make_shared<RequestFlow>(state, request);
        co_await flow->run();
    }

    bool isRouted(std::string_view host, std::string_view path) const
    {
        const ServingConfig *config = state.config.get();
        return config && config->route(host.substr(0, host.find(':')), path);
    }

    /// Logs evictions and refusals, at most once per interval.
    void reportClients(TimePoint now)
    {
        if (now < nextClientReport)
            return;
        const ConnectionBudget::Usage usage = clients->usage();
        if (usage.evicted == reportedClients.evicted && usage.refused == reportedClients.refused)
            return;
        logEvent(LogLevel::Warning, "clients_over_budget",
                 {{"evicted", usage.evicted - reportedClients.evicted},
                  {"refused", usage.refused - reportedClients.refused},
                  {"bytes", usage.bytes},
                  {"connections", usage.connections}});
        reportedClients = usage;
        nextClientReport = now + budgetReportInterval;
    }

    void recordClients()
    {
        const ConnectionBudget::Usage usage = clients->usage();
        metrics.set("tamarack_client_evictions_total", "", usage.evicted);
        metrics.set("tamarack_client_refusals_total", "", usage.refused);
        metrics.gauge("tamarack_client_bytes", "", static_cast<double>(usage.bytes));
        metrics.gauge("tamarack_client_connections", "", static_cast<double>(usage.connections));
    }

    /// What readiness depends on.
    struct ReadinessInputs
    {
        bool config = false;
        bool upstreams = false;
        bool proof = false;
        bool draining = false;

        bool operator==(const ReadinessInputs &) const = default;
        bool ready() const { return config && upstreams && proof && !draining; }
    };

    /// Logs the readiness if what it depends on has changed since the last check.
    void reportReadiness(const ReadinessInputs &inputs)
    {
        metrics.gauge("tamarack_ready", "", inputs.ready() ? 1 : 0);
        if (std::exchange(reportedReadiness, inputs) == inputs)
            return;
        logEvent(LogLevel::Info, "readiness_changed",
                 {{"ready", inputs.ready()},
                  {"config_read", inputs.config},
                  {"upstreams_read", inputs.upstreams},
                  {"proof_fresh", inputs.proof},
                  {"draining", inputs.draining}});
    }

    asio::awaitable<void> serveReadiness(HttpExchange &request)
    {
        const ReadinessInputs inputs{hasConfig, hasUpstreams, proof.isFresh(bootNow()), draining};
        reportReadiness(inputs);
        HttpResponse response{inputs.ready() ? readyStatus : notReadyStatus, {}, ""};
        co_await request.respond(std::move(response));
    }

    asio::awaitable<void> serveMetrics(HttpExchange &request)
    {
        if (request.request().path() != "/metrics") {
            HttpResponse missing{notFoundStatus, {}, ""};
            co_await request.respond(std::move(missing));
            co_return;
        }
        metrics.set("tamarack_store_calls_total", "",
                    storeFollower.calls() + rolloutFollower.calls());
        recordClients();
        HttpResponse response{readyStatus, {{"Content-Type", "text/plain; version=0.0.4"}}, ""};
        response.body = metrics.prometheusText();
        co_await request.respond(std::move(response));
    }

    asio::awaitable<void> tickLoop()
    {
        TimePoint nextTick = steadyNow() + tickInterval;
        while (true) {
            const TimePoint due = std::min(nextTick, steadyNow() + state.readLag.checkInterval());
            state.readLag.scheduleCheck(due);
            co_await pause(due - steadyNow());
            const TimePoint now = steadyNow();
            state.recordLateness(now);
            if (now < nextTick)
                continue;
            state.tick(now);
            reportClients(now);
            nextTick = now + tickInterval;
        }
    }

    void start()
    {
        storeFollower.start(supervisor);
        if (settings.direct.rollouts)
            rolloutFollower.start(supervisor);
        asio::co_spawn(
            traffic, [self = shared_from_this()] { return self->tickLoop(); }, asio::detached);
    }

    asio::awaitable<void> drainAndStop(TimePoint end, std::function<void()> done)
    {
        co_await storeFollower.leave();
        callerServer->closeAfterAnswers();
        co_await pause(balancerDetectionTime);
        callerServer->stopAccepting();
        callerServer->closeIdle();
        while (steadyNow() < end && callerServer->connections() > 0) {
            co_await pause(drainPoll);
            callerServer->closeIdle();
        }
        logEvent(LogLevel::Info, "drained", {{"connections", callerServer->connections()}});
        done();
    }

    Settings settings;
    Contexts &contexts;
    asio::io_context &traffic;
    Metrics metrics;
    TrafficState state;
    /// Shared by all listeners.
    std::shared_ptr<ConnectionBudget> clients;
    ConnectionBudget::Usage reportedClients;
    TimePoint nextClientReport{};
    Supervisor supervisor;
    StoreFollower storeFollower;
    RolloutFollower rolloutFollower;
    std::unique_ptr<PeerExchange> exchange;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> adminServer;
    /// The control thread's copy of the freshness proof, used for readiness.
    FreshnessGuard proof;
    bool hasConfig = false;
    bool hasUpstreams = false;
    bool draining = false;
    std::optional<ReadinessInputs> reportedReadiness;
};

DirectProcess::DirectProcess(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{}

DirectProcess::~DirectProcess() = default;

Result<std::unique_ptr<DirectProcess>> DirectProcess::makeProcess(Settings settings,
                                                                  Contexts &contexts)
{
    auto p = std::make_shared<Private>(std::move(settings), contexts);
    if (auto opened = p->open(); !opened)
        return tl::unexpected(opened.error());
    p->start();
    return std::unique_ptr<DirectProcess>(new DirectProcess(std::move(p)));
}

void DirectProcess::drain(std::function<void()> done)
{
    const auto self = m_private;
    self->draining = true;
    logEvent(LogLevel::Info, "drain_started", {{"connections", self->callerServer->connections()}});
    const TimePoint end = steadyNow() + self->settings.direct.stopGrace - shutdownReserve;
    asio::post(self->traffic, [self, end] {
        self->state.draining = true;
        self->state.stopWindow.beginStop(end - responseReserve);
    });
    asio::co_spawn(
        self->contexts.control(),
        [self, end, done = std::move(done)] { return self->drainAndStop(end, done); },
        asio::detached);
}

void DirectProcess::reload(const Settings &settings)
{
    setLogLevel(settings.logLevel);
}

} // namespace tamarack
