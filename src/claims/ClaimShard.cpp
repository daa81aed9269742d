#include "claims/ClaimShard.h"

#include "config/JsonObjectReader.h"

#include <algorithm>
#include <cassert>

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace json = boost::json;

namespace {

constexpr std::size_t recordsPerPage = 1500;
constexpr milliseconds freshBound{15};
constexpr milliseconds shortestPace{4};
constexpr milliseconds longestPace{200};

/// The shard's head object: where the log starts and which snapshot comes before it.
struct Head
{
    std::uint64_t first = 0;
    std::uint64_t snapshot = 0;
    std::uint64_t pages = 0;
};

std::string encodeHead(const Head &head)
{
    return json::serialize(
        json::object{{"first", head.first}, {"snapshot", head.snapshot}, {"pages", head.pages}});
}

std::optional<Head> decodeHead(std::string_view text)
{
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    if (error)
        return std::nullopt;
    std::vector<DocumentFault> faults;
    JsonObjectReader reader(document, "", faults);
    Head head;
    head.first = static_cast<std::uint64_t>(reader.requiredInteger("first", {}));
    head.snapshot = static_cast<std::uint64_t>(reader.requiredInteger("snapshot", {}));
    head.pages = static_cast<std::uint64_t>(reader.requiredInteger("pages", {}));
    reader.finish();
    if (!faults.empty())
        return std::nullopt;
    return head;
}

enum class Step : std::uint8_t {
    LoadHead,
    LoadPage,
    ListLog,
    VerifyListing,
    Ready,
    Create,
    VerifyCreate,
    WritePage,
    WriteHead,
    Remove,
};

} // namespace

struct ClaimShard::Private
{
    struct Pending
    {
        ClaimRecord record;
        TimePoint submittedAt{};
    };

    explicit Private(ClaimShardOptions shardOptions)
        : options(shardOptions)
        , meanPace(options.batchDelay)
        , pace(options.batchDelay)
        , paceSeed(options.writer ^ options.shard)
    {
        prefix = fmt::format("claims/{:03}/", options.shard);
    }

    std::string logKey(std::uint64_t index) const
    {
        return fmt::format("{}log/{:012}", prefix, index);
    }

    std::string pageKey(std::uint64_t snapshot, std::uint64_t page) const
    {
        return fmt::format("{}snapshot/{:012}/{:04}", prefix, snapshot, page);
    }

    std::string headKey() const { return prefix + "head"; }

    // --- answers to requests ---

    void answer(const ClaimRecord &record, ClaimResult result)
    {
        answers.push_back({record.request, record.token, std::move(result)});
    }

    /// Answers a record from the table; true when its key is held by another record.
    bool answerIfHeld(const ClaimRecord &record)
    {
        auto holder = table.holder(record.workspace, record.key);
        if (!holder || holder->token == record.supersedes)
            return false;
        const bool own = holder->token == record.token;
        answer(record, {own ? ClaimStatus::Claimed : ClaimStatus::Exists, std::move(*holder)});
        return true;
    }

    void answerHeldRecords()
    {
        std::erase_if(pending, [this](const Pending &item) { return answerIfHeld(item.record); });
    }

    void answerLate(TimePoint now)
    {
        const auto late = [this, now](const Pending &item) {
            return now - item.submittedAt >= options.answerBound;
        };
        for (const Pending &item : pending) {
            if (late(item))
                answer(item.record, {});
        }
        std::erase_if(pending, late);
    }

    // --- calls ---

    std::optional<ClaimCall> nextCall(TimePoint now)
    {
        switch (step) {
        case Step::LoadHead:
        case Step::VerifyListing:
        case Step::VerifyCreate:
            return claims::Read{headKey(), seenVersion};
        case Step::LoadPage:
            return claims::Read{pageKey(head.snapshot, page), 0};
        case Step::ListLog:
            return claims::List{prefix + "log/", next == 0 ? "" : logKey(next - 1), 0};
        case Step::Ready:
            return startBatch(now);
        case Step::Create:
            return claims::Create{logKey(next), batchText};
        case Step::WritePage:
            return claims::Create{pageKey(compacting.snapshot, page), pageText()};
        case Step::WriteHead:
            return claims::Update{headKey(), encodeHead(compacting), headVersion};
        case Step::Remove:
            return std::nullopt;
        }
        return std::nullopt;
    }

    std::optional<ClaimCall> startBatch(TimePoint now)
    {
        answerHeldRecords();
        if (pending.empty())
            return startRemoval();
        if (now - pending.front().submittedAt < pace)
            return std::nullopt;
        if (now - syncedAt > freshBound) {
            // Others have written meanwhile; a create at an old number would be lost.
            step = Step::ListLog;
            return nextCall(now);
        }
        ClaimBatch batch;
        batch.writer = options.writer ^ (++batchNumber << 32);
        const auto count = std::min(pending.size(), options.largestBatch);
        for (std::size_t i = 0; i < count; ++i) {
            batch.records.push_back(pending[i].record);
            batch.records.back().createdAt = wallSeconds;
        }
        batchText = encodeClaimBatch(batch);
        step = Step::Create;
        return claims::Create{logKey(next), batchText};
    }

    /// Writers that meet at one number gather longer, each for a different time, so that a write
    /// carries more records and fewer writes are lost.
    void slowDown()
    {
        meanPace = std::min<Duration>(meanPace * 3 / 2 + shortestPace, longestPace);
        drawPace();
    }

    void speedUp()
    {
        meanPace = std::max<Duration>(options.batchDelay, meanPace * 4 / 5);
        drawPace();
    }

    void drawPace()
    {
        paceSeed = paceSeed * 6364136223846793005ULL + 1442695040888963407ULL;
        const auto part = static_cast<Duration::rep>(paceSeed >> 54);
        constexpr Duration::rep parts = 1 << 10;
        pace = meanPace / 2 + meanPace * part / parts;
    }

    /// Objects behind the head are removed only while no request waits for a claim.
    std::optional<ClaimCall> startRemoval()
    {
        if (removals.empty())
            return std::nullopt;
        step = Step::Remove;
        return claims::Remove{removals.back()};
    }

    void retryLater(TimePoint now) { notBefore = now + options.retryDelay; }

    // --- results ---

    void handle(const ClaimCallResult &result, TimePoint now)
    {
        switch (step) {
        case Step::LoadHead:
            return headLoaded(result, now);
        case Step::LoadPage:
            return pageLoaded(result, now);
        case Step::ListLog:
            return listed(result, now);
        case Step::VerifyListing:
            return listingVerified(result, now);
        case Step::Create:
            return createDone(result, now);
        case Step::VerifyCreate:
            return createVerified(result, now);
        case Step::WritePage:
            return pageWritten(result);
        case Step::WriteHead:
            return headWritten(result);
        case Step::Remove:
            return removed();
        case Step::Ready:
            return;
        }
    }

    void headLoaded(const ClaimCallResult &result, TimePoint now)
    {
        if (result.status == StoreStatus::Unknown)
            return retryLater(now);
        const auto loaded = result.status == StoreStatus::Done ? decodeHead(result.value) : Head{};
        head = loaded.value_or(Head{});
        seenVersion = std::max(seenVersion, result.version);
        headVersion = result.status == StoreStatus::Done ? result.version : 0;
        table.clear();
        next = head.first;
        page = 0;
        step = head.pages > 0 ? Step::LoadPage : Step::ListLog;
    }

    void pageLoaded(const ClaimCallResult &result, TimePoint now)
    {
        if (result.status == StoreStatus::Unknown)
            return retryLater(now);
        const auto batch = result.status == StoreStatus::Done ? decodeClaimBatch(result.value)
                                                              : Result<ClaimBatch>();
        // A missing page means that a newer snapshot has replaced this one.
        if (result.status == StoreStatus::Refused || !batch) {
            step = Step::LoadHead;
            return retryLater(now);
        }
        apply(*batch);
        if (++page == head.pages)
            step = Step::ListLog;
    }

    void apply(const ClaimBatch &batch)
    {
        for (const ClaimRecord &record : batch.records)
            table.apply(record);
    }

    void listed(const ClaimCallResult &result, TimePoint now)
    {
        if (result.status != StoreStatus::Done)
            return retryLater(now);
        listing = result.objects;
        for (const ListedObject &object : listing)
            seenVersion = std::max(seenVersion, object.version);
        step = Step::VerifyListing;
    }

    /// Reads the head after the listing or the create that it has to vouch for. A number below
    /// the head's first may have been reused after a compaction this writer had not seen.
    std::optional<Head> verifiedHead(const ClaimCallResult &result, TimePoint now)
    {
        if (result.status == StoreStatus::Unknown) {
            retryLater(now);
            return std::nullopt;
        }
        const auto current = result.status == StoreStatus::Done ? decodeHead(result.value) : Head{};
        if (!current || current->first > next) {
            step = Step::LoadHead;
            return std::nullopt;
        }
        headVersion = result.status == StoreStatus::Done ? result.version : 0;
        head = *current;
        return head;
    }

    void listingVerified(const ClaimCallResult &result, TimePoint now)
    {
        if (!verifiedHead(result, now))
            return;
        const std::uint64_t before = next;
        for (const ListedObject &object : std::exchange(listing, {})) {
            if (object.key != logKey(next))
                break;
            if (const auto batch = decodeClaimBatch(object.value))
                apply(*batch);
            ++next;
        }
        step = Step::Ready;
        syncedAt = now;
        if (next != before)
            step = Step::ListLog;
        else if (conflictAt == next)
            staleListing(now);
    }

    /// The API refused number `next`, yet does not list it: the listing was read from the past.
    void staleListing(TimePoint now)
    {
        step = Step::ListLog;
        retryLater(now);
    }

    void createDone(const ClaimCallResult &result, TimePoint now)
    {
        if (result.status == StoreStatus::Unknown)
            return retryLater(now);
        if (result.status == StoreStatus::Done) {
            seenVersion = std::max(seenVersion, result.version);
            step = Step::VerifyCreate;
            return;
        }
        // Somebody holds number `next`: perhaps this writer, whose answer was lost.
        conflictAt = next;
        slowDown();
        step = Step::ListLog;
    }

    void createVerified(const ClaimCallResult &result, TimePoint now)
    {
        if (!verifiedHead(result, now))
            return;
        if (const auto batch = decodeClaimBatch(batchText))
            apply(*batch);
        ++next;
        step = Step::Ready;
        syncedAt = now;
        speedUp();
        answerHeldRecords();
        if (next - head.first >= options.compactEvery)
            startCompaction();
    }

    // --- compaction ---

    void startCompaction()
    {
        table.expire(wallSeconds - options.retentionSeconds);
        snapshotRecords = table.records();
        compacting.first = next;
        compacting.snapshot = next;
        compacting.pages = (snapshotRecords.size() + recordsPerPage - 1) / recordsPerPage;
        behindHead.clear();
        for (std::uint64_t index = head.first; index < next; ++index)
            behindHead.push_back(logKey(index));
        for (std::uint64_t old = 0; old < head.pages; ++old)
            behindHead.push_back(pageKey(head.snapshot, old));
        page = 0;
        step = compacting.pages > 0 ? Step::WritePage : Step::WriteHead;
    }

    std::string pageText() const
    {
        ClaimBatch batch;
        const auto begin = page * recordsPerPage;
        const auto end = std::min<std::size_t>(begin + recordsPerPage, snapshotRecords.size());
        batch.records.assign(snapshotRecords.begin() + static_cast<std::ptrdiff_t>(begin),
                             snapshotRecords.begin() + static_cast<std::ptrdiff_t>(end));
        return encodeClaimBatch(batch);
    }

    void pageWritten(const ClaimCallResult &result)
    {
        // Another entry compacts the same prefix, or the API is out: leave it for next time.
        if (result.status != StoreStatus::Done)
            return giveUpCompaction();
        if (++page == compacting.pages)
            step = Step::WriteHead;
    }

    void headWritten(const ClaimCallResult &result)
    {
        if (result.status != StoreStatus::Done)
            return giveUpCompaction();
        head = compacting;
        headVersion = result.version;
        removals = std::move(behindHead);
        step = Step::Ready;
    }

    void removed()
    {
        // An object that could not be removed stays behind the head, where nobody reads it.
        removals.pop_back();
        step = Step::Ready;
    }

    void giveUpCompaction() { step = Step::Ready; }

    ClaimShardOptions options;
    /// How long records are gathered, on average and for the next batch.
    Duration meanPace{};
    Duration pace{};
    std::uint64_t paceSeed = 0;
    std::string prefix;
    ClaimTable table;
    Step step = Step::LoadHead;
    Head head;
    Head compacting;
    std::uint64_t headVersion = 0;
    std::uint64_t next = 0;
    std::uint64_t page = 0;
    /// Highest object version seen; heads older than it are not trusted.
    std::uint64_t seenVersion = 0;
    std::uint64_t batchNumber = 0;
    std::optional<std::uint64_t> conflictAt;
    std::string batchText;
    std::deque<Pending> pending;
    std::vector<claims::Answer> answers;
    std::vector<ListedObject> listing;
    std::vector<std::string> behindHead;
    std::vector<std::string> removals;
    std::vector<ClaimRecord> snapshotRecords;
    TimePoint notBefore{};
    /// When the end of the log was last known.
    TimePoint syncedAt{};
    std::int64_t wallSeconds = 0;
    bool outstanding = false;
    bool idle = true;
};

ClaimShard::ClaimShard(ClaimShardOptions options)
    : m_private(std::make_unique<Private>(options))
{}

ClaimShard::~ClaimShard() = default;
ClaimShard::ClaimShard(ClaimShard &&) noexcept = default;
ClaimShard &ClaimShard::operator=(ClaimShard &&) noexcept = default;

void ClaimShard::submit(ClaimRecord record, TimePoint now)
{
    // Readers refuse a record without these, and the writer would repeat it for ever.
    assert(!record.workspace.empty() && !record.key.empty() && !record.gateName.empty());
    m_private->idle = false;
    m_private->pending.push_back({std::move(record), now});
}

void ClaimShard::callDone(const ClaimCallResult &result, TimePoint now)
{
    assert(m_private->outstanding);
    m_private->outstanding = false;
    m_private->handle(result, now);
}

void ClaimShard::tick(TimePoint now, std::int64_t wallSeconds)
{
    m_private->wallSeconds = wallSeconds;
    m_private->answerLate(now);
}

std::optional<ClaimCall> ClaimShard::takeCall(TimePoint now)
{
    auto &p = *m_private;
    // A shard that no request has used costs the object API nothing.
    if (p.outstanding || p.idle || now < p.notBefore)
        return std::nullopt;
    auto call = p.nextCall(now);
    p.outstanding = call.has_value();
    return call;
}

std::vector<claims::Answer> ClaimShard::takeAnswers()
{
    return std::exchange(m_private->answers, {});
}

const ClaimTable &ClaimShard::table() const
{
    return m_private->table;
}

std::uint64_t ClaimShard::nextIndex() const
{
    return m_private->next;
}

} // namespace tamarack
