#include "direct/VersionRecorder.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "direct/StoreKinds.h"
#include "fleet/VersionHistory.h"
#include "platform/StoreClient.h"
#include "process/Timers.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace tamarack {

namespace asio = boost::asio;

namespace {

const std::string recordName = "services";
/// Longest time for which a list waits until its versions have been recorded.
constexpr milliseconds longestDelay{300};
/// Pause after a failed call; doubles with each failure in a row.
constexpr milliseconds shortestPause{200};
constexpr milliseconds longestPause{10'000};
/// Entries that changed the record at the same time try again within this time.
constexpr milliseconds conflictSpread{50};

} // namespace

struct VersionRecorder::Private : std::enable_shared_from_this<VersionRecorder::Private>
{
    Private(const asio::any_io_executor &processExecutor, const Settings &settings,
            VersionsProved versionsProved)
        : executor(processExecutor)
        , store(executor, settings.direct.store)
        , onProved(std::move(versionsProved))
        , idle(executor)
    {}

    void apply(Listed listed)
    {
        const TimePoint now = steadyNow();
        history.recordListed(std::move(listed.versions), now);
        for (const ServiceVersion &version : listed.formerVersions)
            history.recordSeen(version, now);
        checkRecord();
    }

    /// Makes the calls that the history needs now.
    void checkRecord()
    {
        // Another entry may have extended the record already.
        isReadDue = isReadDue || !history.isRead() || history.extended(store.era());
        publish();
        startWork();
    }

    bool isWorkDue() const { return isReadDue || isTrimDue || history.extended(store.era()); }

    void startWork()
    {
        if (!isWorkDue() || std::exchange(isWorking, true))
            return;
        asio::co_spawn(
            executor, [self = shared_from_this()] { return self->work(); }, asio::detached);
    }

    asio::awaitable<void> work()
    {
        milliseconds nextPause = shortestPause;
        while (isWorkDue()) {
            const bool succeeded = co_await takeStep();
            publish();
            if (succeeded) {
                nextPause = shortestPause;
                hasFailed = false;
                continue;
            }
            hasFailed = true;
            co_await pause(nextPause + randomDuration(nextPause));
            nextPause = std::min(2 * nextPause, longestPause);
        }
        isWorking = false;
        idle.cancel();
    }

    /// Makes the call that is due first. Returns false if it failed.
    asio::awaitable<bool> takeStep()
    {
        if (isReadDue) {
            co_return co_await read();
        }
        auto extended = history.extended(store.era());
        if (extended) {
            co_return co_await write(std::move(*extended), "extended");
        }
        isTrimDue = false;
        auto trimmed = history.trimmed(steadyNow());
        if (trimmed) {
            co_return co_await write(std::move(*trimmed), "trimmed");
        }
        co_return true;
    }

    asio::awaitable<bool> read()
    {
        isReadDue = false;
        const auto object = co_await store.read(versionKind(), recordName);
        const bool isMissing = !object && object.error().kind == ErrorKind::NotFound;
        if (!object && !isMissing) {
            isReadDue = true;
            log("read", object.error().message, std::nullopt);
            co_return false;
        }
        if (isMissing && !history.isRead()) {
            const bool isRead = co_await readTraces();
            if (!isRead) {
                isReadDue = true;
                co_return false;
            }
        }
        revision = object ? object->revision : 0;
        const auto record = object ? decodeVersionRecord(object->spec) : std::nullopt;
        history.applyRecord(record, store.era(), steadyNow());
        log("read", isMissing ? "missing" : (record ? "ok" : "unreadable"), record);
        co_return true;
    }

    /// Finds out whether entries have begun streams before there was a record.
    asio::awaitable<bool> readTraces()
    {
        const platform::ObjectVisitor visit = [](const platform::StoredObject &) {};
        const auto listing = co_await store.list(originKind(), visit);
        if (!listing)
            co_return false;
        if (listing->isWhole() && listing->objects + listing->unreadable == 0)
            history.noteNoPast();
        co_return true;
    }

    asio::awaitable<bool> write(VersionRecord record, std::string_view change)
    {
        const boost::json::value content = encodeVersionRecord(record);
        Result<platform::Revision> written;
        if (revision == 0)
            written = co_await store.create(versionKind(), recordName, content);
        else
            written = co_await store.replace(versionKind(), recordName, revision, content);
        log(change, written ? "ok" : written.error().message, record);
        if (written) {
            revision = *written;
            history.applyRecord(record, store.era(), steadyNow());
        }
        isReadDue = isReadDue || !written || revision == 0;
        const bool isOutdated = !written
                                && (written.error().kind == ErrorKind::VersionConflict
                                    || written.error().kind == ErrorKind::NotFound);
        if (isOutdated)
            co_await pause(randomDuration(conflictSpread));
        co_return written || isOutdated;
    }

    void publish()
    {
        SoleVersions proved = isReadDue ? SoleVersions{} : history.soleVersions(store.era());
        if (proved == published)
            return;
        published = std::move(proved);
        onProved(published);
    }

    void log(std::string_view step, std::string_view outcome,
             const std::optional<VersionRecord> &record) const
    {
        logEvent(LogLevel::Info, "version_record",
                 {{"step", step},
                  {"outcome", outcome},
                  {"era", store.era()},
                  {"record_era", record ? record->era : 0},
                  {"revision", revision},
                  {"versions", record ? record->versions.size() : 0},
                  {"past_unknown", !record || record->isPastUnknown}});
    }

    asio::any_io_executor executor;
    platform::StoreClient store;
    VersionsProved onProved;
    VersionHistory history;
    SoleVersions published;
    /// Revision of the record in the store; 0 if there is none.
    platform::Revision revision = 0;
    bool isReadDue = false;
    bool isTrimDue = false;
    bool isWorking = false;
    /// The last call failed.
    bool hasFailed = false;
    /// Cancelled once no call is due.
    asio::steady_timer idle;
};

VersionRecorder::VersionRecorder(const asio::any_io_executor &executor, const Settings &settings,
                                 VersionsProved versionsProved)
    : m_private(std::make_shared<Private>(executor, settings, std::move(versionsProved)))
{}

VersionRecorder::~VersionRecorder() = default;

asio::awaitable<void> VersionRecorder::record(Listed listed)
{
    const auto self = m_private;
    self->apply(std::move(listed));
    if (!self->isWorking || self->hasFailed)
        co_return;
    self->idle.expires_after(longestDelay);
    co_await self->idle.async_wait(asio::as_tuple(asio::use_awaitable));
}

void VersionRecorder::recordLater(Listed listed)
{
    m_private->apply(std::move(listed));
}

void VersionRecorder::confirmList(bool trims)
{
    const TimePoint now = steadyNow();
    m_private->history.confirmList(now);
    m_private->isTrimDue = trims && m_private->history.trimmed(now);
    m_private->startWork();
}

void VersionRecorder::recordMoves(const std::set<RouteMove> &moves)
{
    if (moves.empty())
        return;
    for (const auto &[from, to] : moves)
        m_private->history.recordMove(from, to, steadyNow());
    m_private->checkRecord();
}

void VersionRecorder::readAgain()
{
    m_private->isReadDue = true;
    m_private->publish();
}

std::uint64_t VersionRecorder::calls() const
{
    return m_private->store.calls();
}

} // namespace tamarack
