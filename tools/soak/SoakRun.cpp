#include "soak/SoakRun.h"

#include "base/AsioPch.h"
#include "http/HttpClient.h"
#include "model/LinkRelay.h"
#include "model/LoopbackListener.h"
#include "model/StoreServer.h"
#include "model/UpstreamServer.h"
#include "process/Timers.h"
#include "soak/EntryProcess.h"
#include "soak/SoakClient.h"

#include <csignal>
#include <fstream>
#include <optional>

namespace tamarack::soak {

namespace asio = boost::asio;
namespace json = boost::json;
using standin::LinkFault;
using standin::LinkRelay;
using standin::StoreMode;
using standin::UpstreamMode;
using tcp = asio::ip::tcp;

namespace {

constexpr int slotsOfUpstream = 4;
constexpr int eventPauseMs = 12;
constexpr int workMs = 40;
constexpr milliseconds poll{20};
/// Entries are ready so soon after their start or the last fault.
constexpr milliseconds recoverBound{8000};
/// A planned stop: the grace of the settings, and what the machine takes to end a process.
constexpr milliseconds stopGrace{5000};
constexpr milliseconds endMargin{1500};
/// Longer than entries may take to notice.
constexpr milliseconds leavingBeforeRemoval{4000};
/// Longer than entries have to keep to a limit.
constexpr milliseconds limitHolds{6000};
constexpr int readyStatus = 200;

std::optional<StoreMode> storeMood(FaultKind kind)
{
    switch (kind) {
    case FaultKind::StoreUnavailable:
        return StoreMode::Unavailable;
    case FaultKind::StoreBusy:
        return StoreMode::Busy;
    case FaultKind::StoreSilent:
        return StoreMode::Unresponsive;
    default:
        return std::nullopt;
    }
}

std::optional<LinkFault> storeLinkFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::StoreLinkRefused:
        return LinkFault::Refused;
    case FaultKind::StoreLinkSilent:
        return LinkFault::Silent;
    case FaultKind::StoreLinkOneWay:
        return fault.variant % 2 == 0 ? LinkFault::SilentForward : LinkFault::SilentBackward;
    case FaultKind::StoreLinkSlow:
        return LinkFault::Slow;
    default:
        return std::nullopt;
    }
}

std::optional<LinkFault> upstreamLinkFault(FaultKind kind)
{
    switch (kind) {
    case FaultKind::UpstreamCrashed:
        return LinkFault::Refused;
    case FaultKind::UpstreamSilent:
        return LinkFault::Silent;
    case FaultKind::UpstreamSlow:
        return LinkFault::Slow;
    default:
        return std::nullopt;
    }
}

tcp::endpoint onLoopback(unsigned short port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

std::string addressOf(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

json::object routeEntry(const std::string &name, const std::string &kind, int attempts)
{
    return {{"name", name},
            {"host", "soak.example"},
            {"pathPrefix", "/" + name + "/"},
            {"kind", kind},
            {"timeoutMs", routeTimeout.count()},
            {"targetLatencyMs", 500},
            {"priority", 0},
            {"service", "models"},
            {"maxAttempts", attempts},
            {"resumeStreams", true}};
}

/// One upstream behind its link, and its record in the store.
struct Upstream
{
    Upstream(asio::io_context &context, std::size_t upstreamIndex)
        : index(upstreamIndex)
        , server(context, 0, "up-" + std::to_string(upstreamIndex))
        , link(context, onLoopback(0), onLoopback(server.port()))
    {
        server.eventPauseMs = eventPauseMs;
        server.workMs = workMs;
        server.softwareVersion = version();
    }

    /// Every second incarnation of an upstream, and every second upstream, has the other version.
    std::string version() const { return restarts % 2 == index % 2 ? "v1" : "v2"; }

    /// The process ends and another version starts.
    void restart(std::size_t upstreams)
    {
        ++restarts;
        born += upstreams;
        server.softwareVersion = version();
        link.cut();
    }

    std::string name() const { return "up-" + std::to_string(index); }
    json::object record(const std::string &state) const
    {
        return {{"service", "models"}, {"address", addressOf(link.port())},
                {"zone", "dc"},        {"slots", slotsOfUpstream},
                {"state", state},      {"version", version()},
                {"born", born}};
    }

    std::size_t index;
    standin::UpstreamServer server;
    LinkRelay link;
    bool leaving = false;
    /// Start of its incarnation.
    std::size_t born = index + 1;
    std::size_t restarts = 0;
};

/// One entry with its own link to the store.
struct Entry
{
    Entry(asio::io_context &context, unsigned short storePort, std::size_t entryIndex,
          const SoakOptions &options)
        : index(entryIndex)
        , storeLink(context, onLoopback(0), onLoopback(storePort))
        , settingsFile(options.directory / (name() + ".json"))
        , process(options.daemon, settingsFile, options.directory / (name() + ".log"))
    {
        std::ofstream(settingsFile) << json::serialize(settings());
    }

    std::string name() const { return "entry-" + std::to_string(index); }
    json::object settings() const
    {
        const auto listener = [](unsigned short port) {
            return json::object{{"address", addressOf(port)}};
        };
        return {{"role", "direct"},
                {"name", name()},
                {"dataCentre", "dc"},
                {"caller", listener(callerPort)},
                {"readiness", listener(readinessPort)},
                {"admin", listener(standin::freePort())},
                {"peer", addressOf(standin::freePort())},
                {"peerKey", "0123456789abcdef"},
                {"store", addressOf(storeLink.port())},
                {"bounds", {{"revokeMs", 4000}, {"stopGraceSeconds", stopGrace.count() / 1000}}}};
    }

    std::size_t index;
    unsigned short callerPort = standin::freePort();
    unsigned short readinessPort = standin::freePort();
    LinkRelay storeLink;
    std::filesystem::path settingsFile;
    EntryProcess process;
    /// The soak has stopped or killed it and has not started it again.
    bool down = true;
};

class Run
{
public:
    Run(std::uint64_t seed, const SoakOptions &options)
        : m_options(options)
        , m_seed(seed)
        , m_store(m_context, 0)
    {
        m_report.faults = drawFaults(seed, options.length);
        m_report.store = drawStorePlan(seed, options.length);
        m_view.steadyKey = "steady";
        m_view.newestKey = "key-1";
        m_view.formerKey = "key-0";
        for (std::size_t i = 0; i < m_options.upstreams; ++i)
            m_upstreams.push_back(std::make_unique<Upstream>(m_context, i));
        for (std::size_t i = 0; i < m_options.entries; ++i)
            m_entries.push_back(std::make_unique<Entry>(m_context, m_store.port(), i, options));
        for (const auto &entry : m_entries)
            m_view.entries.push_back(onLoopback(entry->callerPort));
        m_promises.keyChanged(m_view.formerKey, m_view.newestKey, steadyNow());
    }

    SoakReport run()
    {
        asio::co_spawn(m_context, main(), [this](const std::exception_ptr &thrown) {
            if (thrown)
                m_promises.broken("the soak itself failed");
            m_context.stop();
        });
        // The entries end with this process.
        asio::signal_set signals(m_context, SIGINT, SIGTERM);
        signals.async_wait([this](boost::system::error_code error, int) {
            if (error)
                return;
            m_report.interrupted = true;
            m_context.stop();
        });
        m_context.run();
        m_report.calls = m_promises.calls();
        m_report.served = m_promises.served();
        m_report.resumed = m_promises.resumed();
        m_report.wentOn = m_promises.wentOn();
        m_report.violations = m_promises.violations();
        return m_report;
    }

private:
    asio::awaitable<void> main()
    {
        writeStore();
        for (const auto &entry : m_entries)
            startEntry(*entry);
        co_await awaitReady("after the start");
        startClients();
        asio::co_spawn(m_context, watchProcesses(), asio::detached);
        for (const Fault &fault : m_report.faults)
            asio::co_spawn(m_context, play(fault), asio::detached);
        for (const ForeignObject &object : m_report.store.objects)
            if (object.at.count() > 0)
                asio::co_spawn(m_context, writeLater(object), asio::detached);
        co_await pause(m_options.length);
        while (m_playing > 0)
            co_await pause(poll);
        co_await awaitReady("after the last fault");
        co_await probeAll();
        for (const auto &entry : m_entries)
            asio::co_spawn(m_context, stopEntry(*entry), asio::detached);
        co_await pause(poll);
        while (m_stopping > 0)
            co_await pause(poll);
        m_view.over = true;
        // The last calls of clients end with their entries.
        co_await pause(milliseconds(200));
    }

    void writeStore()
    {
        m_store.with([this](standin::PlatformStore &store) {
            store.setPageSize(m_report.store.pageSize);
            for (const ForeignObject &object : m_report.store.objects)
                if (object.at.count() == 0)
                    write(store, object);
            store.create("config", "main", configuration());
            for (const auto &upstream : m_upstreams)
                store.create("servers", upstream->name(), upstream->record("ready"));
        });
        for (const auto &upstream : m_upstreams)
            watchUpstream(*upstream);
    }

    static void write(standin::PlatformStore &store, const ForeignObject &object)
    {
        store.create(object.kind, object.name, json::object{{"odd", true}});
    }

    asio::awaitable<void> writeLater(const ForeignObject &object)
    {
        co_await pause(object.at);
        m_store.with([&object](standin::PlatformStore &store) { write(store, object); });
    }

    void watchUpstream(Upstream &upstream)
    {
        const auto idOf = [](const HttpRequest &request) {
            return std::string(findHeader(request.headers, "Request-Id").value_or(""));
        };
        const std::size_t index = upstream.index;
        upstream.server.onRun = [this, idOf, index](const HttpRequest &request) {
            m_promises.ran(idOf(request), index, steadyNow());
        };
        upstream.server.onArrival = [this, idOf, index](const HttpRequest &request) {
            m_promises.arrived(idOf(request), index, steadyNow());
        };
        upstream.server.onRefused = [this, idOf, index](const HttpRequest &request,
                                                        Duration closedFor) {
            m_promises.turnedAway(idOf(request), index, closedFor, steadyNow());
        };
    }

    json::object configuration() const
    {
        const json::array keys{json::value(m_view.steadyKey), json::value(m_view.newestKey)};
        return {{"version", m_configVersion},
                {"routes", json::array{routeEntry("read", "idempotent", 2),
                                       routeEntry("book", "non_idempotent", 1),
                                       routeEntry("stream", "streaming", 2)}},
                {"services",
                 json::array{json::object{{"name", "models"},
                                          {"healthCheck", standin::UpstreamServer::healthPath}}}},
                {"tenants", json::array{json::object{{"name", "w1"}, {"apiKeys", keys}}}}};
    }

    void startClients()
    {
        for (std::size_t i = 0; i < m_options.clients; ++i) {
            m_clients.push_back(std::make_unique<SoakClient>(
                m_view, m_promises, "c" + std::to_string(i), m_seed * m_options.clients + i));
            asio::co_spawn(m_context, m_clients.back()->run(), asio::detached);
        }
    }

    void startEntry(Entry &entry)
    {
        if (const auto started = entry.process.start(); !started)
            m_promises.broken(started.error().message);
        m_promises.entryStarts(entry.index);
        entry.down = false;
    }

    asio::awaitable<void> awaitReady(std::string when)
    {
        const TimePoint end = steadyNow() + recoverBound;
        for (const auto &entry : m_entries) {
            bool ready = co_await isReady(*entry);
            while (!ready && steadyNow() < end) {
                co_await pause(poll);
                ready = co_await isReady(*entry);
            }
            if (!ready)
                m_promises.broken(entry->name() + " is not ready " + when);
        }
    }

    asio::awaitable<bool> isReady(const Entry &entry)
    {
        HttpClient client(m_context.get_executor());
        const Endpoint server{"127.0.0.1", entry.readinessPort};
        const HttpRequest request{"GET", "/readyz", {{"Host", "soak"}}, ""};
        const auto answer = co_await client.call(server, request, milliseconds(500));
        co_return answer && answer->status == readyStatus;
    }

    /// Every entry serves again.
    asio::awaitable<void> probeAll()
    {
        constexpr int tries = 10;
        SoakClient prober(m_view, m_promises, "probe", m_seed);
        for (const auto &entry : m_entries) {
            int status = 0;
            for (int i = 0; i < tries && status != readyStatus; ++i) {
                status = co_await prober.probe(entry->index);
                co_await pause(milliseconds(200));
            }
            if (status != readyStatus)
                m_promises.broken(entry->name() + " does not serve after the faults");
        }
    }

    asio::awaitable<void> watchProcesses()
    {
        while (true) {
            for (const auto &entry : m_entries) {
                if (entry->down || entry->process.running())
                    continue;
                entry->down = true;
                m_promises.broken(entry->name() + " ended by itself, code "
                                  + std::to_string(entry->process.exitCode()));
            }
            co_await pause(poll);
        }
    }

    asio::awaitable<void> stopEntry(Entry &entry)
    {
        if (entry.down)
            co_return;
        ++m_stopping;
        entry.down = true;
        const TimePoint stoppedAt = steadyNow();
        m_promises.entryStops(entry.index, stoppedAt);
        entry.process.signal(SIGTERM);
        while (entry.process.running() && steadyNow() < stoppedAt + stopGrace + endMargin)
            co_await pause(poll);
        const bool excused =
            m_disturbances.touched(Scope::Process, entry.index, stoppedAt, steadyNow());
        if (entry.process.running()) {
            if (!excused)
                m_promises.broken(entry.name() + " did not stop in time");
            entry.process.signal(SIGKILL);
        } else if (entry.process.exitCode() != 0 && !excused) {
            m_promises.broken(entry.name() + " stopped with code "
                              + std::to_string(entry.process.exitCode()));
        }
        --m_stopping;
    }

    asio::awaitable<void> play(const Fault &fault)
    {
        ++m_playing;
        co_await pause(fault.at);
        if (const auto mode = storeMood(fault.kind))
            co_await disturbStore(fault, *mode);
        else if (const auto linkFault = storeLinkFault(fault))
            co_await disturbLink(fault, entryOf(fault).storeLink, *linkFault);
        else if (const auto upstreamFault = upstreamLinkFault(fault.kind))
            co_await disturbLink(fault, upstreamOf(fault).link, *upstreamFault);
        else
            co_await playOther(fault);
        --m_playing;
    }

    asio::awaitable<void> playOther(const Fault &fault)
    {
        if (fault.kind == FaultKind::UpstreamMisbehaves)
            co_await misbehave(fault, upstreamOf(fault));
        else if (fault.kind == FaultKind::UpstreamLeaves)
            co_await leave(fault, upstreamOf(fault));
        else if (fault.kind == FaultKind::UpstreamLimits)
            co_await limit(fault, upstreamOf(fault));
        else if (fault.kind == FaultKind::UpstreamCloses)
            co_await close(fault, upstreamOf(fault));
        else if (fault.kind == FaultKind::UpstreamSaysItLeaves)
            co_await sayLeaving(fault, upstreamOf(fault));
        else if (fault.kind == FaultKind::UpstreamReset)
            resetUpstream(upstreamOf(fault));
        else if (fault.kind == FaultKind::KeyChanged)
            changeKey();
        else if (fault.kind == FaultKind::StoreForgets)
            m_store.with([](standin::PlatformStore &store) { store.compact(); });
        else
            co_await disturbProcess(fault, entryOf(fault));
    }

    Entry &entryOf(const Fault &fault) { return *m_entries.at(fault.target % m_entries.size()); }
    Upstream &upstreamOf(const Fault &fault)
    {
        return *m_upstreams.at(fault.target % m_upstreams.size());
    }

    asio::awaitable<void> disturbProcess(const Fault &fault, Entry &entry)
    {
        if (fault.kind == FaultKind::EntryReloaded) {
            entry.process.signal(SIGHUP);
            co_return;
        }
        if (entry.down)
            co_return;
        if (fault.kind == FaultKind::EntryStopped)
            co_await stopEntry(entry);
        const auto handle = m_disturbances.begin(Scope::Process, entry.index, steadyNow());
        if (fault.kind == FaultKind::EntryPaused) {
            entry.process.signal(SIGSTOP);
            co_await pause(fault.lasts);
            entry.process.signal(SIGCONT);
        } else {
            entry.down = true;
            entry.process.signal(SIGKILL);
            co_await pause(fault.lasts);
            startEntry(entry);
        }
        m_disturbances.end(handle, steadyNow());
    }

    asio::awaitable<void> disturbStore(const Fault &fault, StoreMode mode)
    {
        const auto handle = m_disturbances.begin(Scope::Store, 0, steadyNow());
        m_store.mode = mode;
        co_await pause(fault.lasts);
        m_store.mode = StoreMode::Normal;
        m_disturbances.end(handle, steadyNow());
    }

    asio::awaitable<void> disturbLink(const Fault &fault, LinkRelay &link, LinkFault linkFault)
    {
        const auto handle = beginLink(link);
        link.setFault(linkFault);
        co_await pause(fault.lasts);
        link.setFault(LinkFault::None);
        m_disturbances.end(handle, steadyNow());
    }

    Disturbances::Handle beginLink(const LinkRelay &link)
    {
        for (const auto &entry : m_entries)
            if (&entry->storeLink == &link)
                return m_disturbances.begin(Scope::StoreLink, entry->index, steadyNow());
        return m_disturbances.begin(Scope::Upstream, 0, steadyNow());
    }

    void resetUpstream(Upstream &upstream)
    {
        const auto handle = beginLink(upstream.link);
        upstream.link.cut();
        m_disturbances.end(handle, steadyNow());
    }

    asio::awaitable<void> misbehave(const Fault &fault, Upstream &upstream)
    {
        constexpr std::array moods{UpstreamMode::NotExecuted, UpstreamMode::AbortsConnection,
                                   UpstreamMode::Fails, UpstreamMode::Unsigned,
                                   UpstreamMode::WrongRequestId};
        const auto handle = beginLink(upstream.link);
        upstream.server.mode = moods.at(fault.variant % moods.size());
        co_await pause(fault.lasts);
        upstream.server.mode = UpstreamMode::Normal;
        m_disturbances.end(handle, steadyNow());
    }

    asio::awaitable<void> leave(const Fault &fault, Upstream &upstream)
    {
        if (std::exchange(upstream.leaving, true))
            co_return;
        m_store.with([&upstream](standin::PlatformStore &store) {
            store.replace("servers", upstream.name(), upstream.record("draining"), 0);
        });
        m_promises.upstreamLeaves(upstream.index, steadyNow());
        co_await pause(leavingBeforeRemoval + fault.lasts);
        m_store.with([&upstream](standin::PlatformStore &store) {
            store.remove("servers", upstream.name());
        });
        co_await pause(fault.lasts);
        m_promises.upstreamBack(upstream.index);
        restart(upstream);
        m_store.with([&upstream](standin::PlatformStore &store) {
            store.create("servers", upstream.name(), upstream.record("ready"));
        });
        upstream.leaving = false;
    }

    asio::awaitable<void> limit(const Fault &fault, Upstream &upstream)
    {
        constexpr std::array limits{0.0, 0.4, 1.3, 2.0, 3.9};
        if (upstream.server.limitPerSecond >= 0)
            co_return;
        const double perSecond = limits.at(fault.variant % limits.size());
        m_promises.statements().namesLimit(upstream.index, perSecond, steadyNow());
        upstream.server.limitPerSecond = perSecond;
        co_await pause(limitHolds + fault.lasts);
        m_promises.statements().namesLimit(upstream.index, std::nullopt, steadyNow());
        upstream.server.limitPerSecond = -1;
    }

    asio::awaitable<void> close(const Fault &fault, Upstream &upstream)
    {
        constexpr std::array lengths{0.3, 1.0, 2.5, 4.0};
        upstream.server.closedForSeconds = lengths.at(fault.variant % lengths.size());
        co_await pause(fault.lasts);
        upstream.server.closedForSeconds = 0;
    }

    /// Says so in its answers alone; later a new incarnation stands in its place.
    asio::awaitable<void> sayLeaving(const Fault &fault, Upstream &upstream)
    {
        if (std::exchange(upstream.leaving, true))
            co_return;
        m_promises.statements().saysThatItLeaves(upstream.index, steadyNow());
        upstream.server.leaving = true;
        co_await pause(leavingBeforeRemoval + fault.lasts);
        // The store lists the incarnation that is leaving only now.
        if (fault.variant % 2 == 1) {
            listNextIncarnation(upstream);
            co_await pause(fault.lasts);
        }
        upstream.server.leaving = false;
        m_promises.statements().isReplaced(upstream.index);
        listNextIncarnation(upstream);
        upstream.leaving = false;
    }

    void restart(Upstream &upstream)
    {
        const auto handle = beginLink(upstream.link);
        upstream.restart(m_upstreams.size());
        m_disturbances.end(handle, steadyNow());
    }

    void listNextIncarnation(Upstream &upstream)
    {
        restart(upstream);
        m_store.with([&upstream](standin::PlatformStore &store) {
            store.replace("servers", upstream.name(), upstream.record("ready"), 0);
        });
    }

    void changeKey()
    {
        ++m_configVersion;
        m_view.formerKey = m_view.newestKey;
        m_view.newestKey = "key-" + std::to_string(m_configVersion);
        m_store.with([this](standin::PlatformStore &store) {
            store.replace("config", "main", configuration(), 0);
        });
        m_promises.keyChanged(m_view.formerKey, m_view.newestKey, steadyNow());
    }

    SoakOptions m_options;
    std::uint64_t m_seed;
    SoakReport m_report;
    asio::io_context m_context{1};
    Disturbances m_disturbances;
    Promises m_promises{m_disturbances};
    ClientView m_view;
    int m_configVersion = 1;
    standin::StoreServer m_store;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<SoakClient>> m_clients;
    int m_playing = 0;
    int m_stopping = 0;
};

} // namespace

SoakReport runSoak(std::uint64_t seed, const SoakOptions &options)
{
    std::filesystem::create_directories(options.directory);
    return Run(seed, options).run();
}

} // namespace tamarack::soak
