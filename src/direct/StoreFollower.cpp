#include "direct/StoreFollower.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "base/Log.h"
#include "fleet/StoreDuty.h"
#include "platform/ConfigDecoder.h"
#include "platform/StoreClient.h"
#include "platform/UpstreamDecoder.h"
#include "process/Supervisor.h"
#include "process/Timers.h"

#include <algorithm>
#include <concepts>
#include <utility>

namespace tamarack {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Wait of a watch. The return of that of the configuration proves it; the others are bounded so
/// that a store that forgets a watch is noticed.
constexpr milliseconds configWait{1300};
constexpr milliseconds upstreamWait{4000};
constexpr milliseconds entryWait{8000};
/// Wait of a watch that asks for what has changed already: its answer proves the configuration at
/// once.
constexpr milliseconds noWait{1};
/// A position among the upstreams' changes that no follower renews for this long is renewed at the
/// store, which forgets its history after some 20 s.
constexpr milliseconds positionRefresh{12'000};
/// How often an entry that relies on followers looks whether they still answer.
constexpr milliseconds dutyCheck{500};
/// Pause before the next watch once changes have come: more of them come in one answer. New
/// upstreams come in numbers and can wait; what leaves cannot.
constexpr milliseconds upstreamPause{150};
constexpr milliseconds newUpstreamPause{700};
constexpr milliseconds entryPause{1000};
/// Pause after a failed call, with as much again at random. The proof of the configuration is
/// needed soonest; entries and upstreams are known well enough for a while.
constexpr milliseconds configRetry{120};
constexpr milliseconds upstreamRetry{400};
constexpr milliseconds entryRetry{1000};
/// Entries find one another in seconds; their changes are told by datagrams anyway.
constexpr auto entryAge = platform::StoreClient::Freshness::MaybeStale;
/// Own kind of object: one for each entry.
const std::string entryKind = "tamarack-entries";

} // namespace

struct StoreFollower::Private : std::enable_shared_from_this<StoreFollower::Private>
{
    Private(const asio::any_io_executor &executor, const Settings &processSettings,
            StoreListener storeListener)
        : settings(processSettings)
        , listener(std::move(storeListener))
        , store(executor, settings.direct.store)
        , expiryTimer(executor)
        , configTimer(executor)
        , upstreamTimer(executor)
    {}

    /// Returns once this entry watches the store itself, or `needed` holds.
    template <std::predicate Needed>
    asio::awaitable<void> untilNeeded(asio::steady_timer &timer, Needed needed)
    {
        noteDuty();
        while (!duty.watchesStore(bootNow()) && !needed()) {
            timer.expires_after(dutyCheck);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        noteDuty();
    }

    void noteDuty()
    {
        const bool watches = duty.watchesStore(bootNow());
        if (std::exchange(watched, watches) != watches)
            logEvent(LogLevel::Info, "store_duty",
                     {{"watches", watches}, {"elected", duty.isElected()}});
    }

    void wake()
    {
        configTimer.cancel();
        upstreamTimer.cancel();
    }

    /// Notes the outcome of a call; logs when the store is lost or regained.
    void noteCall(bool succeeded, std::string_view what, std::string_view reason)
    {
        const TimePoint now = steadyNow();
        if (succeeded)
            directory.storeAnswered(now);
        else
            directory.storeFailed(now);
        if (succeeded != reachable) {
            reachable = succeeded;
            logEvent(succeeded ? LogLevel::Info : LogLevel::Warning,
                     succeeded ? "store_regained" : "store_lost",
                     {{"call", what}, {"reason", reason}});
        }
    }

    template <typename T>
    bool noteResult(const Result<T> &result, std::string_view what)
    {
        // These are answers: the store is there.
        const bool answered = result || result.error().kind == ErrorKind::HistoryGone
                              || result.error().kind == ErrorKind::NotFound;
        noteCall(answered, what, result ? "" : result.error().message);
        return result.has_value();
    }

    static asio::awaitable<void> pauseAfterFailure(milliseconds shortest)
    {
        const auto spread = static_cast<std::int64_t>(randomBits64() % shortest.count());
        co_await pause(shortest + milliseconds(spread));
    }

    asio::awaitable<void> configLoop()
    {
        while (true) {
            const BootTime callStart = bootNow();
            const auto listing = co_await store.list(platform::configKind());
            if (!noteResult(listing, "list_config")) {
                co_await pauseAfterFailure(configRetry);
                continue;
            }
            for (const auto &object : listing->objects)
                takeConfig(object);
            duty.configRead(version.value_or(0));
            proveConfig(callStart);
            co_await watchConfig(listing->revision);
        }
    }

    /// Returns when a listing is needed: the watch cannot go on, or others know a newer version.
    asio::awaitable<void> watchConfig(platform::Revision revision)
    {
        while (true) {
            co_await untilNeeded(configTimer,
                                 [this] { return duty.isConfigBehind(version.value_or(0)); });
            if (!duty.watchesStore(bootNow()))
                co_return;
            const BootTime callStart = bootNow();
            const bool provedLately = provedAt && callStart - *provedAt < configWait;
            const auto changes = co_await store.watch(platform::configKind(), revision,
                                                      provedLately ? configWait : noWait);
            if (!noteResult(changes, "watch_config")) {
                if (changes.error().kind != ErrorKind::HistoryGone)
                    co_await pauseAfterFailure(configRetry);
                // A listing proves the configuration at once.
                co_return;
            }
            for (const auto &event : changes->events)
                if (!event.deleted)
                    takeConfig(event.object);
            proveConfig(callStart);
            revision = changes->revision;
        }
    }

    void takeConfig(const platform::StoredObject &object)
    {
        if (object.name != platform::configName())
            return;
        auto config = platform::decodeConfig(object.spec);
        if (!config) {
            logEvent(LogLevel::Error, "config_invalid",
                     {{"revision", object.revision}, {"reason", config.error().message}});
            return;
        }
        if (version && (*config)->version <= *version)
            return;
        version = (*config)->version;
        logEvent(LogLevel::Info, "config_applied",
                 {{"version", *version},
                  {"revision", object.revision},
                  {"routes", (*config)->routes.size()},
                  {"workspaces", (*config)->workspaces.size()}});
        for (const Workspace &workspace : (*config)->workspaces)
            logEvent(LogLevel::Info, "workspace_applied",
                     {{"workspace", workspace.name},
                      {"keys", workspace.keys.size()},
                      {"rate", workspace.rate},
                      {"burst", workspace.burst}});
        listener.configChanged(std::move(*config));
    }

    void proveConfig(BootTime callStart)
    {
        provedAt = callStart;
        if (version)
            listener.configProved(callStart);
    }

    asio::awaitable<void> upstreamLoop()
    {
        while (true) {
            callsUpstreams = true;
            const auto listing = co_await store.list(platform::upstreamKind());
            callsUpstreams = false;
            if (!noteResult(listing, "list_upstreams")) {
                co_await pauseAfterFailure(upstreamRetry);
                continue;
            }
            std::vector<UpstreamRecord> records;
            for (const auto &object : listing->objects)
                if (auto record = decode(object))
                    records.push_back(std::move(*record));
            directory.replace(std::move(records), steadyNow());
            publishUpstreams();
            setPosition({position, listing->revision, {}}, UpstreamSource::Listing);
            co_await watchUpstreams();
        }
    }

    void setPosition(const UpstreamDelta &delta, UpstreamSource source)
    {
        position = delta.revision;
        positionAt = steadyNow();
        listener.upstreamsFollowed(delta, source);
    }

    asio::awaitable<void> watchUpstreams()
    {
        while (true) {
            co_await untilNeeded(upstreamTimer, [this] {
                const TimePoint now = steadyNow();
                return duty.areUpstreamsBehind(position, now) || now > positionAt + positionRefresh;
            });
            const bool watches = duty.watchesStore(bootNow());
            callsUpstreams = true;
            const auto changes = co_await store.watch(platform::upstreamKind(), position,
                                                      watches ? upstreamWait : noWait);
            callsUpstreams = false;
            if (!noteResult(changes, "watch_upstreams")) {
                if (changes.error().kind == ErrorKind::HistoryGone)
                    co_return;
                co_await pauseAfterFailure(upstreamRetry);
                continue;
            }
            bool onlyNew = true;
            UpstreamDelta delta{position, changes->revision, {}};
            for (const auto &event : changes->events) {
                delta.changes.push_back(decodeChange(event));
                onlyNew = takeChange(delta.changes.back(), "store") && onlyNew;
            }
            setPosition(delta, UpstreamSource::OwnWatch);
            if (changes->events.empty())
                continue;
            publishUpstreams();
            co_await pause(onlyNew ? newUpstreamPause : upstreamPause);
        }
    }

    UpstreamChange decodeChange(const platform::StoreEvent &event)
    {
        auto record = event.deleted ? std::nullopt : decode(event.object);
        if (record)
            return {std::move(*record), false};
        UpstreamChange removal;
        removal.record.id = event.object.name;
        removal.removed = true;
        return removal;
    }

    /// Whether the change is of an upstream that was not known.
    bool takeChange(const UpstreamChange &change, std::string_view source)
    {
        const UpstreamRecord &record = change.record;
        logEvent(LogLevel::Info, "upstream_changed",
                 {{"upstream", record.id},
                  {"source", source},
                  {"position", position},
                  {"listed", !change.removed},
                  {"draining", record.draining}});
        if (change.removed) {
            directory.remove(record.id, steadyNow());
            return false;
        }
        const bool isNew = !record.draining && !directory.knows(record.id);
        directory.put(record);
        return isNew;
    }

    void applyRelayed(const UpstreamDelta &delta)
    {
        // An own call under way would bring changes that the delta has gone beyond.
        if (callsUpstreams || delta.since > position || delta.revision < position)
            return;
        for (const UpstreamChange &change : delta.changes)
            takeChange(change, "relay");
        setPosition(delta, UpstreamSource::Relay);
        if (!delta.changes.empty())
            publishUpstreams();
    }

    std::optional<UpstreamRecord> decode(const platform::StoredObject &object)
    {
        auto record = platform::decodeUpstream(object.name, object.spec);
        if (record)
            return *record;
        logEvent(LogLevel::Warning, "upstream_entry_ignored",
                 {{"upstream", object.name}, {"reason", record.error().message}});
        return std::nullopt;
    }

    void publishUpstreams()
    {
        listener.upstreamsChanged(directory.usable(steadyNow()));
        const auto expiry = directory.nextExpiry();
        if (!expiry)
            return;
        expiryTimer.expires_at(*expiry);
        expiryTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error)
                self->publishUpstreams();
        });
    }

    asio::awaitable<void> entryLoop()
    {
        co_await registerEntry();
        while (true) {
            const auto listing = co_await store.list(entryKind, entryAge);
            if (!noteResult(listing, "list_entries")) {
                co_await pauseAfterFailure(entryRetry);
                continue;
            }
            entries.clear();
            for (const auto &object : listing->objects)
                takeEntry({object, false});
            listener.entriesChanged(entries);
            co_await watchEntries(listing->revision);
        }
    }

    asio::awaitable<void> registerEntry()
    {
        const json::value own = json::object{{"peer", toString(settings.peer)}};
        while (true) {
            const auto written = co_await store.put(entryKind, settings.name, own);
            if (noteResult(written, "register"))
                co_return;
            co_await pauseAfterFailure(entryRetry);
        }
    }

    asio::awaitable<void> watchEntries(platform::Revision revision)
    {
        while (true) {
            const auto changes = co_await store.watch(entryKind, revision, entryWait, entryAge);
            if (!noteResult(changes, "watch_entries")) {
                // An old listing can begin before the history that is left, again and again.
                co_await pauseAfterFailure(entryRetry);
                if (changes.error().kind == ErrorKind::HistoryGone)
                    co_return;
                continue;
            }
            for (const auto &event : changes->events)
                takeEntry(event);
            revision = changes->revision;
            if (changes->events.empty())
                continue;
            listener.entriesChanged(entries);
            co_await pause(entryPause);
        }
    }

    void takeEntry(const platform::StoreEvent &event)
    {
        const auto *spec = event.object.spec.if_object();
        const auto *address = spec ? spec->if_contains("peer") : nullptr;
        const auto peer = address && address->is_string()
                              ? parseEndpoint(std::string(address->get_string()))
                              : std::nullopt;
        if (event.deleted || !peer)
            entries.erase(event.object.name);
        else
            entries[event.object.name] = *peer;
    }

    Settings settings;
    StoreListener listener;
    platform::StoreClient store;
    UpstreamDirectory directory;
    StoreDuty duty;
    /// The upstreams are known up to this revision of the store, renewed then.
    platform::Revision position = 0;
    TimePoint positionAt{};
    /// A call that reads upstreams is under way.
    bool callsUpstreams = false;
    /// What was logged last.
    bool watched = true;
    asio::steady_timer expiryTimer;
    /// Waits of the configuration's and the upstreams' watch for something to do.
    asio::steady_timer configTimer;
    asio::steady_timer upstreamTimer;
    std::map<std::string, Endpoint> entries;
    std::optional<std::uint64_t> version;
    /// Start of the last own call that proved the configuration, or that there is none.
    std::optional<BootTime> provedAt;
    bool reachable = true;
};

StoreFollower::StoreFollower(const asio::any_io_executor &executor, const Settings &settings,
                             StoreListener listener)
    : m_private(std::make_shared<Private>(executor, settings, std::move(listener)))
{}

StoreFollower::~StoreFollower() = default;

void StoreFollower::start(Supervisor &supervisor)
{
    const auto self = m_private;
    supervisor.start("config", [self] { return self->configLoop(); });
    supervisor.start("upstreams", [self] { return self->upstreamLoop(); });
    supervisor.start("entries", [self] { return self->entryLoop(); });
}

asio::awaitable<void> StoreFollower::leave()
{
    const auto self = m_private;
    const auto removed = co_await self->store.remove(entryKind, self->settings.name);
    if (!removed)
        logEvent(LogLevel::Warning, "unregister_failed", {{"reason", removed.error().message}});
}

void StoreFollower::setElected(bool elected)
{
    m_private->duty.setElected(elected);
    m_private->wake();
}

void StoreFollower::learnProof(BootTime provedAt)
{
    m_private->duty.learnProof(provedAt);
}

void StoreFollower::notice(std::uint64_t configVersion, std::uint64_t upstreamRevision)
{
    m_private->duty.noticeConfig(configVersion);
    m_private->duty.noticeUpstreams(upstreamRevision, m_private->position, steadyNow());
    m_private->wake();
}

void StoreFollower::applyRelayed(const UpstreamDelta &delta)
{
    m_private->applyRelayed(delta);
}

std::uint64_t StoreFollower::calls() const
{
    return m_private->store.calls();
}

} // namespace tamarack
