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

/// Fixed facts of one entry.
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
    /// Refuse a request that could not end by its deadline any more; off for experiments.
    bool refuseHopeless = true;
    /// Shed what has waited longer than its first token may take; off for experiments.
    bool shedOverdue = true;
    /// Keep long prompts off engines that are too slow for them; off for experiments.
    bool firstTokenFit = true;
};

/// Who is at the other end of a link.
struct GateIdentity
{
    std::string name;
    std::string dataCentre;
    Incarnation incarnation = 0;
};

/// A caller's request, checked and ready to be scheduled.
struct Submission
{
    std::string target;
    TierRank tier = 0;
    std::string workspace;
    Duration timeToDeadline{};
    Fingerprint fingerprint = 0;
    std::uint32_t promptTokens = 0;
    /// Estimate of the engine time, for the order within a tier.
    Duration expectedWork{};
    /// Expected length of the answer; 0 when it does not come token by token.
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

/// Status and type of the answer to a caller.
struct Head
{
    RequestId request;
    std::uint16_t status = 0;
    std::string contentType;
};

/// The next bytes of the answer, in order and without gaps.
struct Bytes
{
    RequestId request;
    std::string bytes;
};

/// The answer is whole.
struct Finish
{
    RequestId request;
};

/// The request ends without a whole answer.
struct Fail
{
    RequestId request;
    ErrorKind kind = ErrorKind::Internal;
};

/// Make the record durable, then report with `claimResult`.
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
    /// The record is durable and is the key's claim.
    Claimed,
    /// Another record holds the key.
    Exists,
    /// The object API did not answer in time; whether the record landed is not known.
    Unavailable,
};

struct ClaimResult
{
    ClaimStatus status = ClaimStatus::Unavailable;
    /// The key's claim, when it exists.
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

/// What the entry knows of a gate, for operators.
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

/// The decisions of an entry: where a request waits, which credit it spends, what its caller is
/// told. Pure: time and events come in, actions come out.
class EntryCore
{
public:
    explicit EntryCore(EntryOptions options);
    ~EntryCore();
    EntryCore(const EntryCore &) = delete;
    EntryCore &operator=(const EntryCore &) = delete;

    /// Queues a request. Every request ends with exactly one `Finish` or `Fail`, unless its
    /// caller goes away first.
    RequestId submit(Submission submission, TimePoint now);
    void callerGone(RequestId request, TimePoint now);
    /// The caller has taken `bytes` of the answer in all.
    void callerTook(RequestId request, std::uint64_t bytes, TimePoint now);
    void claimResult(RequestId request, const ClaimResult &result, TimePoint now);

    void linkUp(GateLinkId link, const GateIdentity &gate, TimePoint now);
    void linkDown(GateLinkId link, TimePoint now);
    void receive(GateLinkId link, const PeerMessage &message, TimePoint now);

    /// Applies a configuration if it is newer; true when it was.
    bool applyConfig(const FleetConfigPtr &config, TimePoint now);
    /// Names of upstreams that the host list shows as leaving.
    void setLeavingHosts(std::vector<std::string> names, TimePoint now);
    /// Refuses new requests; those already held are served.
    void setDraining(bool draining);
    void learnFingerprints(const std::vector<FingerprintReport> &reports, TimePoint now);
    /// Clears a fingerprint of all crashes; false when it is not under suspicion.
    bool release(Fingerprint fingerprint, TimePoint now);

    void tick(TimePoint now);

    /// Actions decided since the last call. Announces changed demand.
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
