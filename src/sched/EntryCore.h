#pragma once

#include "base/Time.h"
#include "claims/ClaimRecord.h"
#include "config/FleetConfig.h"
#include "peer/Messages.h"
#include "sched/QuarantineTable.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tamarack {

/// One authenticated connection of this entry to a gate.
using GateLinkId = std::uint64_t;

/// How requests of one tier are ordered; only `ShortestWork` is used outside experiments.
enum class QueueOrder : std::uint8_t { Arrival, Deadline, ShortestWork };

/// Settings of one entry; fixed for the life of the process.
struct EntryOptions
{
    std::string name;
    std::string dataCentre;
    Incarnation incarnation = 0;
    Duration heartbeat = milliseconds(200);
    Duration silence = milliseconds(1500);
    Duration settleBound = milliseconds(5000);
    QueueOrder order = QueueOrder::ShortestWork;
    bool affinity = true;
    /// Refuses a request that can no longer finish by its deadline; disabled only in experiments.
    bool refuseUnmeetable = true;
    /// Sheds requests queued for longer than their tier's first-token target; disabled only in
    /// experiments.
    bool shedOverdue = true;
    /// Keeps long prompts away from engines too slow to meet the first-token target; disabled only
    /// in experiments.
    bool firstTokenFit = true;
};

/// The gate at the other end of a link.
struct GateIdentity
{
    std::string name;
    std::string dataCentre;
    Incarnation incarnation = 0;
};

/// A caller's request, validated and ready to be scheduled.
struct Submission
{
    std::string target;
    TierRank tier = 0;
    std::string workspace;
    Duration timeToDeadline{};
    Fingerprint fingerprint = 0;
    std::uint32_t promptTokens = 0;
    /// Estimated engine time, used to order requests within a tier.
    Duration expectedWork{};
    /// Expected response length in tokens; 0 when the response is not generated token by token.
    std::uint32_t outputTokens = 0;
    std::uint64_t prefix = 0;
    /// Empty without an `Idempotency-Key`.
    std::string key;
    bool idempotent = true;
    RequestBody body;
};

namespace entry {

struct Send
{
    GateLinkId link = 0;
    PeerMessage message;
};

/// Status and content type of the response to a caller.
struct Head
{
    RequestId request;
    std::uint16_t status = 0;
    std::string contentType;
};

/// The next bytes of the response, in order and without gaps.
struct Bytes
{
    RequestId request;
    std::string bytes;
};

/// The response is complete.
struct Finish
{
    RequestId request;
};

/// The request ends without a complete response.
struct Fail
{
    RequestId request;
    ErrorKind kind = ErrorKind::Internal;
};

/// Asks for the record to be made durable; the outcome is passed to `claimResult`.
struct Claim
{
    RequestId request;
    ClaimRecord record;
};

struct CloseLink
{
    GateLinkId link = 0;
};

} // namespace entry

using EntryAction = std::variant<entry::Send, entry::Head, entry::Bytes, entry::Finish, entry::Fail,
                                 entry::Claim, entry::CloseLink>;

enum class ClaimStatus : std::uint8_t {
    /// The record is durable and holds the key.
    Claimed,
    /// Another record holds the key.
    Exists,
    /// The object API did not respond in time; whether the record was written is unknown.
    Unavailable,
};

struct ClaimResult
{
    ClaimStatus status = ClaimStatus::Unavailable;
    /// The record that holds the key, if there is one.
    ClaimRecord holder;
};

/// Counters of the entry, by reason.
struct EntryCounters
{
    std::map<ErrorKind, std::uint64_t> refusals;
    std::map<ErrorKind, std::uint64_t> retries;
    std::uint64_t dispatched = 0;
    std::uint64_t finished = 0;
    std::uint64_t resumed = 0;
    std::uint64_t followed = 0;
    std::uint64_t unclaimedIdempotent = 0;
    std::uint64_t creditsReturned = 0;
};

/// The entry's view of a gate, shown to operators.
struct GateView
{
    std::string name;
    std::string dataCentre;
    Incarnation incarnation = 0;
    GateHeartbeat heartbeat;
};

struct EntryStatus
{
    EntryReport report;
    ShedLevel wantedLevel = 0;
    ShedLevel closedLevel = 0;
    std::vector<GateView> gates;
};

/// The scheduling logic of an entry: where a request is queued, which credit it uses, what is
/// returned to its caller. Does no I/O and reads no clock: takes the time and events as arguments
/// and returns actions.
class EntryCore
{
public:
    explicit EntryCore(EntryOptions options);
    ~EntryCore();
    EntryCore(const EntryCore &) = delete;
    EntryCore &operator=(const EntryCore &) = delete;

    /// Queues a request. Every request ends with exactly one `Finish` or `Fail`, unless its
    /// caller disconnects first.
    RequestId submit(Submission submission, TimePoint now);
    void callerGone(RequestId request, TimePoint now);
    /// The caller has read `bytes` of the response in total.
    void callerTook(RequestId request, std::uint64_t bytes, TimePoint now);
    void claimResult(RequestId request, const ClaimResult &result, TimePoint now);

    void linkUp(GateLinkId link, const GateIdentity &gate, TimePoint now);
    void linkDown(GateLinkId link, TimePoint now);
    void receive(GateLinkId link, const PeerMessage &message, TimePoint now);

    /// Applies a configuration if it is newer than the current one; returns whether it was.
    bool applyConfig(const FleetConfigPtr &config, TimePoint now);
    /// Sets the names of the upstreams that the host list marks as leaving.
    void setLeavingHosts(std::vector<std::string> names, TimePoint now);
    /// While draining, new requests are refused and those already accepted are served.
    void setDraining(bool draining);
    void learnFingerprints(const std::vector<FingerprintReport> &reports, TimePoint now);
    /// Clears all crash reports of a fingerprint; returns false when none is uncleared.
    bool release(Fingerprint fingerprint, TimePoint now);

    void tick(TimePoint now);

    /// Returns the actions decided since the last call, with credit returns and changed demand.
    std::vector<EntryAction> takeActions(TimePoint now);

    std::size_t requestCount() const;
    std::size_t queued(TierRank tier) const;
    EntryStatus status() const;
    const EntryCounters &counters() const;
    const FleetConfigPtr &config() const;
    const QuarantineTable &quarantine() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace tamarack
