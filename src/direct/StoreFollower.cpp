#include "direct/StoreFollower.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "base/Log.h"
#include "base/RequestId.h"
#include "direct/StoreKinds.h"
#include "direct/VersionRecorder.h"
#include "fleet/IgnoredObjects.h"
#include "fleet/OriginRecords.h"
#include "fleet/StoreWatchPolicy.h"
#include "platform/ConfigDecoder.h"
#include "platform/StoreClient.h"
#include "platform/UpstreamDecoder.h"
#include "process/Supervisor.h"
#include "process/Timers.h"

#include <algorithm>
#include <concepts>
#include <exception>
#include <set>
#include <span>
#include <utility>

namespace tamarack {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Maximum time the store holds a watch open. When the configuration's watch returns, it proves the
/// configuration current; the other watches are bounded to detect a store that has lost a watch.
constexpr milliseconds configWait{1300};
constexpr milliseconds entryWait{8000};
/// Part of the drain bound reserved for detecting that an upstream watch has gone silent.
constexpr milliseconds silenceReserve{800};
/// Time beyond the requested wait in which a watch returns.
constexpr milliseconds usualLatency{200};
/// Wait of a watch that requests only past changes; for the configuration, its response proves it
/// current immediately.
constexpr milliseconds noWait{1};
/// If no follower advances the position in the upstream history for this long, it is refreshed from
/// the store, which discards its history after about 20 s.
constexpr milliseconds positionRefresh{12'000};
/// How often an entry that relies on followers checks that their proofs are still recent.
constexpr milliseconds proofCheckInterval{500};
/// Pause before the next watch after changes were received, so that one response batches several
/// changes. New upstreams arrive in large numbers and can wait longer; removals cannot.
constexpr milliseconds upstreamPause{150};
constexpr milliseconds newUpstreamPause{700};
constexpr milliseconds entryPause{1000};
/// Pause after a failed call, plus random jitter of up to the same length. The proof of the
/// configuration is the most urgent; stale entries and upstreams remain usable for a while.
constexpr milliseconds configRetry{120};
constexpr milliseconds upstreamRetry{400};
constexpr milliseconds entryRetry{1000};
/// After a restore of the store, entries that rely on followers list the upstreams within this
/// time.
constexpr milliseconds relistSpread{700};
/// A listing that fails again for the same reason is logged once in this time.
constexpr milliseconds failureLogInterval{5000};
/// A listing that is seconds old suffices to discover entries; state changes are exchanged directly
/// between entries in datagrams.
constexpr auto maxEntryAge = platform::StoreClient::Freshness::MaybeStale;

std::set<ServiceVersion> versionsOf(std::span<const UpstreamRecord> records)
{
    std::set<ServiceVersion> versions;
    for (const UpstreamRecord &record : records)
        versions.insert({record.service, record.version});
    return versions;
}

std::set<ServiceVersion> versionsOf(const UpstreamDelta &delta)
{
    std::set<ServiceVersion> versions;
    for (const UpstreamChange &change : delta.changes)
        if (!change.removed)
            versions.insert({change.record.service, change.record.version});
    return versions;
}

/// Pause before objects that the store could not list are listed again; grows each time.
class GapPause
{
public:
    Duration next()
    {
        const milliseconds shortest = std::exchange(m_pause, std::min(2 * m_pause, longest));
        return shortest + randomDuration(shortest);
    }

private:
    static constexpr milliseconds longest{30'000};
    milliseconds m_pause{1000};
};

} // namespace

struct StoreFollower::Private : std::enable_shared_from_this<StoreFollower::Private>
{
    Private(const asio::any_io_executor &processExecutor, const Settings &processSettings,
            StoreListener storeListener)
        : executor(processExecutor)
        , settings(processSettings)
        , listener(std::move(storeListener))
        , store(executor, settings.direct.store)
        , versions(executor, settings, listener.versionsProved)
        , expiryTimer(executor)
        , configTimer(executor)
        , upstreamTimer(executor)
    {}

    /// Waits until this entry has to watch the store itself or `needed` returns true.
    template <std::predicate Needed>
    asio::awaitable<void> waitUntilNeeded(asio::steady_timer &timer, Needed needed)
    {
        logWatchMode();
        while (!watchPolicy.watchesStore(bootNow()) && !needed()) {
            timer.expires_after(proofCheckInterval);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        logWatchMode();
    }

    void logWatchMode()
    {
        const bool watches = watchPolicy.watchesStore(bootNow());
        if (std::exchange(loggedWatching, watches) != watches)
            logEvent(LogLevel::Info, "store_duty",
                     {{"watches", watches}, {"elected", watchPolicy.isElected()}});
    }

    void wakeLoops()
    {
        configTimer.cancel();
        upstreamTimer.cancel();
    }

    /// Records the outcome of a store call and logs when the store is lost or regained.
    void recordCall(bool succeeded, std::string_view what, std::string_view reason)
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
                     {{"call", what},
                      {"reason", reason},
                      {"last_answer_ms", answeredAt ? toMs(now - *answeredAt) : -1}});
        }
        if (succeeded)
            answeredAt = now;
        noteEra(store.era(), "store");
    }

    /// Records the era of the store that a response of the store or another entry states.
    void noteEra(std::uint64_t stated, std::string_view source)
    {
        if (stated <= era)
            return;
        const std::uint64_t former = std::exchange(era, stated);
        if (former == 0)
            return;
        const TimePoint now = steadyNow();
        const bool waits = !watchPolicy.watchesStore(bootNow());
        relistAt = now + (waits ? randomDuration(relistSpread) : Duration::zero());
        logEvent(LogLevel::Warning, "store_restored",
                 {{"era", era},
                  {"former_era", former},
                  {"source", source},
                  {"position", position.revision},
                  {"position_age_ms", toMs(now - positionAt)},
                  {"relist_ms", toMs(relistAt - now)}});
        directory.storeRestored(now);
        ignoredEntries.clear();
        versions.readAgain();
        listener.storeRestored();
        wakeLoops();
    }

    /// Whether the upstreams are to be listed, because the store has been restored or did not list
    /// all of them.
    bool isRelistDue(TimePoint now) const
    {
        return (era > listedEra && now >= relistAt) || (hasUpstreamGap && now >= gapRelistAt);
    }

    template <typename T>
    bool recordResult(const Result<T> &result, std::string_view what)
    {
        // These errors are responses, so the store is reachable.
        const bool answered = result || result.error().kind == ErrorKind::HistoryGone
                              || result.error().kind == ErrorKind::NotFound
                              || result.error().kind == ErrorKind::VersionConflict;
        recordCall(answered, what, result ? "" : result.error().message);
        return result.has_value();
    }

    /// Lists the kind, counts the outcome and logs it.
    asio::awaitable<Result<platform::StoreListing>>
    list(const std::string &kind, std::string_view call, const platform::ObjectVisitor &visit,
         platform::StoreClient::Freshness freshness = platform::StoreClient::Freshness::Latest)
    {
        const TimePoint start = steadyNow();
        auto listing = co_await store.list(kind, visit, freshness);
        const Duration took = steadyNow() - start;
        if (!recordResult(listing, call)) {
            handleFailedListing(kind, listing.error().message, took);
            co_return listing;
        }
        listener.listingEnded(kind, listing->isWhole() ? "whole" : "partial");
        logEvent(listing->isWhole() ? LogLevel::Info : LogLevel::Warning, "listing_read",
                 {{"kind", kind},
                  {"pages", listing->pages},
                  {"objects", listing->objects},
                  {"unreadable", listing->unreadable},
                  {"era", listing->position.era},
                  {"revision", listing->position.revision},
                  {"gap", listing->gap},
                  {"took_ms", toMs(took)}});
        co_return listing;
    }

    void handleFailedListing(const std::string &kind, const std::string &reason, Duration took)
    {
        listener.listingEnded(kind, "failed");
        const TimePoint now = steadyNow();
        FailedListings &failed = failedListings[kind];
        ++failed.count;
        if (reason == failed.reason && now < failed.logAt)
            return;
        failed.reason = reason;
        failed.logAt = now + failureLogInterval;
        logEvent(LogLevel::Warning, "listing_failed",
                 {{"kind", kind},
                  {"reason", reason},
                  {"failures", failed.count},
                  {"took_ms", toMs(took)}});
    }

    static asio::awaitable<void> pauseAfterFailure(milliseconds shortest)
    {
        co_await pause(shortest + randomDuration(shortest));
    }

    asio::awaitable<void> configLoop()
    {
        while (true) {
            const BootTime callStart = bootNow();
            const auto found = co_await store.find(platform::configKind(), platform::configName());
            if (!recordResult(found, "read_config")) {
                handleFailedListing(platform::configKind(), found.error().message,
                                    bootNow() - callStart);
                co_await pauseAfterFailure(configRetry);
                continue;
            }
            listener.listingEnded(platform::configKind(), "whole");
            if (found->object)
                applyConfig(*found->object);
            watchPolicy.configRead(version.value_or(0));
            proveConfig(callStart);
            co_await watchConfig(found->position);
        }
    }

    /// Returns when a listing is needed: the watch failed or others reported a newer version.
    asio::awaitable<void> watchConfig(StorePosition from)
    {
        while (true) {
            co_await waitUntilNeeded(
                configTimer, [this] { return watchPolicy.isConfigBehind(version.value_or(0)); });
            if (!watchPolicy.watchesStore(bootNow()))
                co_return;
            const BootTime callStart = bootNow();
            const bool recentlyProved = provedAt && callStart - *provedAt < configWait;
            const platform::EventVisitor visit = [this](const platform::StoreEvent &event) {
                if (!event.deleted)
                    applyConfig(event.object);
            };
            const auto changes = co_await store.watch(platform::configKind(), from,
                                                      recentlyProved ? configWait : noWait, visit);
            if (!recordResult(changes, "watch_config")) {
                if (changes.error().kind != ErrorKind::HistoryGone)
                    co_await pauseAfterFailure(configRetry);
                // A listing proves the configuration current immediately.
                co_return;
            }
            proveConfig(callStart);
            from = changes->position;
        }
    }

    void applyConfig(const platform::StoredObject &object)
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
        if (appliedConfig)
            versions.recordMoves(streamMoves(*appliedConfig, **config));
        appliedConfig = *config;
        listener.configChanged(std::move(*config));
    }

    void proveConfig(BootTime callStart)
    {
        provedAt = callStart;
        // A restored store may hold an older configuration than the one in force.
        if (version && !watchPolicy.isNewerConfigReported(*version))
            listener.configProved(callStart);
    }

    asio::awaitable<void> upstreamLoop()
    {
        while (true) {
            readingUpstreams = true;
            const BootTime callStart = bootNow();
            const std::uint64_t knownEra = era;
            std::vector<UpstreamRecord> records;
            const platform::ObjectVisitor visit = [&](const platform::StoredObject &object) {
                if (auto record = decode(object))
                    records.push_back(std::move(*record));
            };
            ignoredEntries.beginListing();
            const auto listing = co_await list(platform::upstreamKind(), "list_upstreams", visit);
            bool isRead = listing.has_value();
            if (isRead && !listing->isWhole())
                isRead = co_await readUnlisted(records);
            if (!isRead) {
                readingUpstreams = false;
                co_await pauseAfterFailure(upstreamRetry);
                continue;
            }
            if (listing->isWhole())
                ignoredEntries.endListing();
            directory.replace(std::move(records), steadyNow());
            // Changes before the listing may have been missed.
            versions.readAgain();
            VersionRecorder::Listed listed = listedAfter({});
            co_await versions.record(std::move(listed));
            readingUpstreams = false;
            publishUpstreams();
            listedEra = std::max(knownEra, listing->position.era);
            recordGap(!listing->isWhole());
            setPosition({position, listing->position, {}}, UpstreamSource::Listing, callStart);
            co_await watchUpstreams();
        }
    }

    /// Adds the known upstreams that the store did not list, as it has them now. Returns false if
    /// it could not be asked about one.
    asio::awaitable<bool> readUnlisted(std::vector<UpstreamRecord> &records)
    {
        const std::vector<std::string> unlisted = directory.missingFrom(records);
        for (const std::string &id : unlisted) {
            const auto object = co_await store.read(platform::upstreamKind(), id);
            const bool exists = recordResult(object, "read_upstream");
            if (!exists && object.error().kind != ErrorKind::NotFound)
                co_return false;
            if (auto record = exists ? decode(*object) : std::nullopt)
                records.push_back(std::move(*record));
        }
        co_return true;
    }

    void recordGap(bool gap)
    {
        hasUpstreamGap = gap;
        if (gap)
            gapRelistAt = steadyNow() + upstreamGapPause.next();
        else
            upstreamGapPause = {};
    }

    void setPosition(const UpstreamDelta &delta, UpstreamSource source, BootTime currentAt)
    {
        position = delta.position;
        positionAt = steadyNow();
        listener.upstreamsFollowed(delta, source,
                                   hasUpstreamGap ? std::nullopt : std::optional(currentAt));
    }

    asio::awaitable<void> watchUpstreams()
    {
        while (true) {
            co_await waitUntilNeeded(upstreamTimer, [this] {
                const TimePoint now = steadyNow();
                return watchPolicy.areUpstreamsBehind(position, now) || isRelistDue(now)
                       || now > positionAt + positionRefresh;
            });
            if (isRelistDue(steadyNow()))
                co_return;
            const BootTime callStart = bootNow();
            const milliseconds wait = watchPolicy.watchesStore(callStart) ? upstreamWait() : noWait;
            UpstreamDelta delta{position, {}, {}};
            const platform::EventVisitor visit = [&](const platform::StoreEvent &event) {
                delta.changes.push_back(decodeChange(event));
            };
            readingUpstreams = true;
            const auto changes =
                co_await store.watch(platform::upstreamKind(), position, wait, visit);
            if (!recordResult(changes, "watch_upstreams")) {
                readingUpstreams = false;
                if (changes.error().kind == ErrorKind::HistoryGone)
                    co_return;
                co_await pauseAfterFailure(upstreamRetry);
                continue;
            }
            delta.position = changes->position;
            bool onlyNew = true;
            for (const UpstreamChange &change : delta.changes)
                onlyNew = applyChange(change, "store") && onlyNew;
            if (delta.changes.empty()) {
                versions.confirmList(watchPolicy.watchesStore(bootNow()));
            } else {
                VersionRecorder::Listed listed = listedAfter(delta);
                co_await versions.record(std::move(listed));
                publishUpstreams();
            }
            readingUpstreams = false;
            // A response that this process reads late shows an older state.
            const BootTime currentAt =
                std::min<BootTime>(bootNow(), callStart + wait + usualLatency);
            setPosition(delta, UpstreamSource::OwnWatch, currentAt);
            if (delta.changes.empty())
                continue;
            co_await pause(onlyNew ? newUpstreamPause : upstreamPause);
        }
    }

    /// Maximum time the store holds an upstream watch open. A watch that has gone silent is
    /// repeated within the drain bound.
    milliseconds upstreamWait() const { return settings.direct.drainBound - silenceReserve; }

    UpstreamChange decodeChange(const platform::StoreEvent &event)
    {
        if (event.deleted)
            ignoredEntries.remove(event.object.name);
        auto record = event.deleted ? std::nullopt : decode(event.object);
        if (record)
            return {std::move(*record), false};
        UpstreamChange removal;
        removal.record.id = event.object.name;
        removal.removed = true;
        return removal;
    }

    /// Applies the change. Returns whether it added a new upstream that is not draining.
    bool applyChange(const UpstreamChange &change, std::string_view source)
    {
        const UpstreamRecord &record = change.record;
        logEvent(LogLevel::Info, "upstream_changed",
                 {{"upstream", record.id},
                  {"born", record.born},
                  {"version", record.version},
                  {"source", source},
                  {"era", position.era},
                  {"position", position.revision},
                  {"position_age_ms", toMs(steadyNow() - positionAt)},
                  {"listed", !change.removed},
                  {"draining", record.draining}});
        if (change.removed) {
            directory.remove(record.id, steadyNow());
            if (directory.knows(record.id))
                logEvent(LogLevel::Info, "upstream_kept",
                         {{"upstream", record.id},
                          {"reason", "store_was_away"},
                          {"for_ms", toMs(*directory.nextExpiry() - steadyNow())}});
            return false;
        }
        const bool isNew = !record.draining && !directory.knows(record.id);
        directory.put(record);
        return isNew;
    }

    void applyRelayed(const UpstreamDelta &delta, BootTime requestedAt)
    {
        const bool continuesList = delta.since <= position && position <= delta.position;
        // A store call in progress would return changes older than the delta.
        if (readingUpstreams || !continuesList)
            return;
        for (const UpstreamChange &change : delta.changes)
            applyChange(change, "relay");
        // The follower has had the versions recorded.
        if (delta.changes.empty()) {
            versions.confirmList(false);
        } else {
            versions.recordLater(listedAfter(delta));
            publishUpstreams();
        }
        setPosition(delta, UpstreamSource::Relay, requestedAt);
    }

    /// The versions in the list, which contains the delta already.
    VersionRecorder::Listed listedAfter(const UpstreamDelta &delta)
    {
        return {versionsOf(directory.usable(steadyNow())), versionsOf(delta)};
    }

    std::optional<UpstreamRecord> decode(const platform::StoredObject &object)
    {
        auto record = platform::decodeUpstream(object.name, object.spec);
        if (record) {
            ignoredEntries.remove(object.name);
            return *record;
        }
        if (ignoredEntries.add(object.name, object.revision))
            logEvent(LogLevel::Warning, "upstream_entry_ignored",
                     {{"upstream", object.name},
                      {"revision", object.revision},
                      {"reason", record.error().message}});
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

    asio::awaitable<void> originLoop()
    {
        co_await readOrigins(originKind());
        co_await readOrigins(recentOriginKind());
        originsRead = true;
        // A supervised loop must not return.
        while (true)
            co_await pause(std::chrono::hours(1));
    }

    asio::awaitable<void> readOrigins(const std::string &kind)
    {
        std::size_t streams = 0;
        const platform::ObjectVisitor visit = [&](const platform::StoredObject &object) {
            streams += applyOrigins(kind, object);
        };
        while (true) {
            const auto listing = co_await list(kind, "list_origins", visit);
            if (!listing) {
                co_await pauseAfterFailure(upstreamRetry);
                continue;
            }
            if (!listing->isWhole() && !originsRevisions.contains(kind)) {
                const auto own = co_await store.read(kind, settings.name);
                if (!recordResult(own, "read_origins") && own.error().kind != ErrorKind::NotFound) {
                    co_await pauseAfterFailure(upstreamRetry);
                    continue;
                }
                streams += own ? applyOrigins(kind, *own) : 0;
            }
            logEvent(LogLevel::Info, "stream_origins_read",
                     {{"kind", kind}, {"entries", listing->objects}, {"streams", streams}});
            co_return;
        }
    }

    /// Returns the number of streams.
    std::size_t applyOrigins(const std::string &kind, const platform::StoredObject &object)
    {
        const bool isOwn = object.name == settings.name;
        std::vector<StreamOrigin> origins = decodeOrigins(object.spec);
        const std::size_t streams = origins.size();
        listener.originsRead(std::move(origins), isOwn);
        if (isOwn)
            originsRevisions[kind] = object.revision;
        return streams;
    }

    /// Returns whether the store has the origins.
    asio::awaitable<bool> saveOrigins(const std::string &kind, json::value content)
    {
        const auto saved = co_await store.put(kind, settings.name, content);
        if (recordResult(saved, "save_origins"))
            originsRevisions[kind] = *saved;
        co_return saved.has_value();
    }

    asio::awaitable<void> entryLoop()
    {
        co_await registerEntry();
        GapPause gapPause;
        while (true) {
            std::map<std::string, Endpoint> listed;
            bool isRegistered = false;
            const platform::ObjectVisitor visit = [&](const platform::StoredObject &object) {
                applyEntry({object, false}, listed);
                isRegistered = isRegistered || object.name == settings.name;
            };
            const auto listing = co_await list(entryKind(), "list_entries", visit, maxEntryAge);
            if (!listing) {
                co_await pauseAfterFailure(entryRetry);
                continue;
            }
            if (!listing->isWhole())
                listed.merge(entries);
            entries = std::move(listed);
            listener.entriesChanged(entries);
            if (!listing->isWhole()) {
                co_await pause(gapPause.next());
                continue;
            }
            gapPause = {};
            if (!isRegistered && !isOlderThanRegistration(listing->position))
                co_await restoreRegistration("missing");
            co_await watchEntries(listing->position);
        }
    }

    /// The registration of this process. The incarnation makes each start a change of the object,
    /// so that a deletion meant for an earlier start does not apply to it.
    json::value registration() const
    {
        return json::object{{"peer", toString(settings.peer)}, {"incarnation", hex64(incarnation)}};
    }

    asio::awaitable<void> registerEntry()
    {
        while (!leaving) {
            const auto written = co_await store.put(entryKind(), settings.name, registration());
            if (recordResult(written, "register")) {
                co_await handleRegistered(*written);
                co_return;
            }
            co_await pauseAfterFailure(entryRetry);
        }
    }

    asio::awaitable<void> handleRegistered(platform::Revision revision)
    {
        registeredAt = {store.era(), revision};
        if (leaving)
            co_await remove(entryKind(), revision);
    }

    /// Whether a listing, which may be seconds old, was read before this entry registered.
    bool isOlderThanRegistration(StorePosition listed) const
    {
        return listed < registeredAt || isOfLaterEra(registeredAt, listed);
    }

    /// Registers this entry again unless it is leaving or another process has taken its name.
    asio::awaitable<void> restoreRegistration(std::string_view reason)
    {
        while (!leaving) {
            const auto created = co_await store.create(entryKind(), settings.name, registration());
            const bool exists = !created && created.error().kind == ErrorKind::VersionConflict;
            logEvent(LogLevel::Warning, "registration_restored",
                     {{"reason", reason},
                      {"outcome", created ? "created" : (exists ? "exists" : "failed")},
                      {"revision", created ? *created : 0}});
            if (recordResult(created, "register_again"))
                co_await handleRegistered(*created);
            if (created || exists)
                co_return;
            co_await pauseAfterFailure(entryRetry);
        }
    }

    asio::awaitable<void> watchEntries(StorePosition from)
    {
        while (true) {
            bool isDeleted = false;
            const platform::EventVisitor visit = [&](const platform::StoreEvent &event) {
                applyEntry(event, entries);
                if (event.object.name == settings.name)
                    isDeleted = event.deleted;
            };
            const auto changes =
                co_await store.watch(entryKind(), from, entryWait, visit, maxEntryAge);
            if (!recordResult(changes, "watch_entries")) {
                // A stale listing can be older than the retained history several times in a row.
                co_await pauseAfterFailure(entryRetry);
                if (changes.error().kind == ErrorKind::HistoryGone)
                    co_return;
                continue;
            }
            from = changes->position;
            if (changes->events == 0)
                continue;
            listener.entriesChanged(entries);
            // The changes may be older than the registration.
            if (isDeleted && !(changes->position < registeredAt))
                co_await restoreRegistration("deleted");
            co_await pause(entryPause);
        }
    }

    static void applyEntry(const platform::StoreEvent &event,
                           std::map<std::string, Endpoint> &entries)
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

    /// Removes this entry's object at the revision that it is known to have, so that a deletion
    /// that takes effect late does not remove what the next start has written.
    asio::awaitable<void> remove(const std::string &kind, platform::Revision revision)
    {
        const auto removed = co_await store.remove(kind, settings.name, revision);
        if (!removed)
            logEvent(LogLevel::Warning, "unregister_failed",
                     {{"kind", kind}, {"revision", revision}, {"reason", removed.error().message}});
    }

    asio::any_io_executor executor;
    Settings settings;
    StoreListener listener;
    platform::StoreClient store;
    VersionRecorder versions;
    UpstreamDirectory directory;
    StoreWatchPolicy watchPolicy;
    /// Position up to which the upstreams are known, and the time it was last updated.
    StorePosition position;
    TimePoint positionAt{};
    /// Latest era of the store that is known, and the one in which the upstreams were listed last.
    std::uint64_t era = 0;
    std::uint64_t listedEra = 0;
    /// When to list the upstreams after a restore.
    TimePoint relistAt{};
    /// The store has upstreams that it could not list, and when to list them again.
    bool hasUpstreamGap = false;
    TimePoint gapRelistAt{};
    GapPause upstreamGapPause;
    /// A store call that reads upstreams is in progress.
    bool readingUpstreams = false;
    /// Last logged value of `StoreWatchPolicy::watchesStore`.
    bool loggedWatching = true;
    asio::steady_timer expiryTimer;
    /// Timers of the configuration and upstream loops while they rely on followers.
    asio::steady_timer configTimer;
    asio::steady_timer upstreamTimer;
    std::map<std::string, Endpoint> entries;
    std::optional<std::uint64_t> version;
    ServingConfigPtr appliedConfig;
    /// Start of this entry's last store call that proved its configuration current, or proved that
    /// there is no configuration.
    std::optional<BootTime> provedAt;
    /// Listed entries that describe no usable upstream.
    IgnoredObjects ignoredEntries;
    /// Listings of a kind that failed since the start, and what was logged of them last.
    struct FailedListings
    {
        std::uint64_t count = 0;
        std::string reason;
        TimePoint logAt{};
    };
    std::map<std::string, FailedListings> failedListings;
    /// Identifies this start of the process.
    std::uint64_t incarnation = randomBits64();
    /// Where this entry's registration was written last.
    StorePosition registeredAt;
    /// Revisions of this entry's origins in the store, by kind.
    std::map<std::string, platform::Revision> originsRevisions;
    /// The process is stopping and removes what it has written.
    bool leaving = false;
    /// The origins in the store have been read since the start.
    bool originsRead = false;
    bool reachable = true;
    /// When the store last answered this entry.
    std::optional<TimePoint> answeredAt;
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
    supervisor.start("origins", [self] { return self->originLoop(); });
}

asio::awaitable<void> StoreFollower::leave()
{
    const auto self = m_private;
    self->leaving = true;
    co_await self->remove(entryKind(), self->registeredAt.revision);
    for (const auto &[kind, revision] : self->originsRevisions)
        co_await self->remove(kind, revision);
}

void StoreFollower::setElected(bool elected)
{
    m_private->watchPolicy.setElected(elected);
    m_private->wakeLoops();
}

void StoreFollower::applyProof(BootTime provedAt)
{
    m_private->watchPolicy.applyProof(provedAt);
}

void StoreFollower::recordRelayedAnswer(BootTime answeredAt)
{
    m_private->directory.storeAnswered(steadyNow() - (bootNow() - answeredAt));
}

void StoreFollower::saveOrigins(const OriginSaving::Write &write)
{
    const auto self = m_private;
    if (!self->originsRead || self->leaving) {
        self->listener.originsSaved(false);
        return;
    }
    const std::string &kind =
        write.scope == OriginSaving::Scope::All ? originKind() : recentOriginKind();
    asio::co_spawn(
        self->executor,
        [self, &kind, content = encodeOrigins(write.origins)] {
            return self->saveOrigins(kind, content);
        },
        [self](std::exception_ptr thrown, bool succeeded) {
            self->listener.originsSaved(!thrown && succeeded);
        });
}

void StoreFollower::recordReportedVersions(std::uint64_t configVersion, StorePosition upstreams)
{
    m_private->noteEra(upstreams.era, "entries");
    m_private->watchPolicy.recordReportedConfig(configVersion);
    m_private->watchPolicy.recordReportedUpstreams(upstreams, m_private->position, steadyNow());
    m_private->wakeLoops();
}

void StoreFollower::applyRelayed(const UpstreamDelta &delta, BootTime requestedAt)
{
    m_private->applyRelayed(delta, requestedAt);
}

std::uint64_t StoreFollower::calls() const
{
    return m_private->store.calls() + m_private->versions.calls();
}

} // namespace tamarack
