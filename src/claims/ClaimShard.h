#pragma once

#include "base/Time.h"
#include "claims/ClaimRecord.h"
#include "claims/ClaimTable.h"
#include "sched/EntryCore.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// Fixed facts of one shard of the claim log.
struct ClaimShardOptions
{
    std::size_t shard = 0;
    /// How long records are gathered before they are committed together.
    Duration batchDelay = milliseconds(5);
    /// After this time a record is reported as unavailable; it may still land.
    Duration answerBound = milliseconds(2000);
    Duration retryDelay = milliseconds(50);
    std::int64_t retentionSeconds = 3600;
    std::uint64_t compactEvery = 256;
    /// Records in one log object at most; 1 for the experiment without group commit.
    std::size_t largestBatch = 500;
    Incarnation writer = 0;
};

namespace claims {

/// Create the object if absent.
struct Create
{
    std::string key;
    std::string value;
};

/// Read an object, not older than version `notOlderThan`.
struct Read
{
    std::string key;
    std::uint64_t notOlderThan = 0;
};

/// List the objects with `prefix` whose key is after `after`, in key order.
struct List
{
    std::string prefix;
    std::string after;
    std::uint64_t notOlderThan = 0;
};

/// Replace the object if its version is still `version`; 0 creates it.
struct Update
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

struct Remove
{
    std::string key;
};

/// A record's result for its request.
struct Answer
{
    RequestId request;
    ClaimToken token = 0;
    ClaimResult result;
};

} // namespace claims

using ClaimCall =
    std::variant<claims::Create, claims::Read, claims::List, claims::Update, claims::Remove>;

/// One row of a listing.
struct ListedObject
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

enum class StoreStatus : std::uint8_t {
    Done,
    /// Conditional write refused, or nothing found.
    Refused,
    /// No usable answer: the call may have taken effect.
    Unknown,
};

/// What the object API answered to the shard's call.
struct ClaimCallResult
{
    StoreStatus status = StoreStatus::Unknown;
    std::string value;
    std::uint64_t version = 0;
    std::vector<ListedObject> objects;
};

/// Group commit of claims to one shard of the append-only log in the object API. Whoever creates
/// object N of the log wins it; correctness rests on that alone. Pure; one call is outstanding
/// at a time.
class ClaimShard
{
public:
    explicit ClaimShard(ClaimShardOptions options);
    ~ClaimShard();
    ClaimShard(ClaimShard &&) noexcept;
    ClaimShard &operator=(ClaimShard &&) noexcept;

    void submit(ClaimRecord record, TimePoint now);
    /// Answers the outstanding call.
    void callDone(const ClaimCallResult &result, TimePoint now);
    void tick(TimePoint now, std::int64_t wallSeconds);

    /// The next call to make; empty while one is outstanding or nothing is to be done.
    std::optional<ClaimCall> takeCall(TimePoint now);
    std::vector<claims::Answer> takeAnswers();

    const ClaimTable &table() const;
    std::uint64_t nextIndex() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace tamarack
