#pragma once

#include "base/RequestId.h"
#include "config/FleetConfig.h"
#include "tamarackseam/ErrorKind.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// Identifies a credit within one gate incarnation; issued in increasing order.
using CreditId = std::uint64_t;

/// Identifies a request by content: workspace and body digest.
using Fingerprint = std::uint64_t;

/// A number of tiers, counted from the lowest.
using ShedLevel = std::uint8_t;

/// What one entry tells of itself; gates relay it to operators.
struct EntryReport
{
    std::string name;
    Incarnation incarnation = 0;
    Generation generation = 0;
    std::vector<std::uint32_t> queuedByTier;
    std::uint32_t inFlight = 0;

    bool operator==(const EntryReport &) const = default;
};

/// A fingerprint was in flight when an engine died; `cleared` rows exonerate it of that crash.
struct FingerprintReport
{
    Fingerprint fingerprint = 0;
    /// Random identity of the crash.
    std::uint64_t crash = 0;
    bool cleared = false;

    bool operator==(const FingerprintReport &) const = default;
};

/// Entry to gate, periodically and on change.
struct EntryHeartbeat
{
    EntryReport report;
    /// One more than the number of lowest tiers that must be closed everywhere before this entry
    /// may shed the tier above them; 0 when it needs to shed none but the lowest.
    ShedLevel wantedLevel = 0;
    /// Number of lowest tiers closed here: none of their requests waits or is admitted.
    ShedLevel closedLevel = 0;
    /// Part of the closed level that stays closed while the wanted level it has heard lasts.
    ShedLevel promisedLevel = 0;
    /// The host list shows the receiving upstream as leaving.
    bool upstreamLeaving = false;

    bool operator==(const EntryHeartbeat &) const = default;
};

/// Gate to entry, periodically and on change.
struct GateHeartbeat
{
    Generation generation = 0;
    bool engineUp = false;
    bool leaving = false;
    std::vector<std::string> targets;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    /// Highest wanted level over the live entries linked to the gate.
    ShedLevel wantedLevel = 0;
    /// Highest closed level over the live entries linked to the gate.
    ShedLevel closedLevel = 0;
    /// Lowest promised level over the live entries linked to the gate.
    ShedLevel promisedLevel = 0;
    /// Empty in most heartbeats; the last list stays valid.
    std::vector<EntryReport> entries;

    bool operator==(const GateHeartbeat &) const = default;
};

/// Waiting requests of one target, tier and workspace at an entry.
struct DemandRow
{
    std::string target;
    TierRank tier = 0;
    std::string workspace;
    std::uint32_t count = 0;
    /// Sum of the prompt sizes of the waiting requests, in tokens.
    std::uint32_t promptTokens = 0;

    bool operator==(const DemandRow &) const = default;
};

/// The whole demand of an entry at one gate; replaces the previous one.
struct Demand
{
    std::vector<DemandRow> rows;

    bool operator==(const Demand &) const = default;
};

/// Permission to dispatch one request.
struct Credit
{
    CreditId id = 0;
    std::string target;
    TierRank tier = 0;
    std::string workspace;
    std::uint32_t lifeMs = 0;
    /// Expected time until the engine starts a further prompt; see `expectedFirstToken`.
    std::uint32_t backlogMs = 0;
    /// Time that the engine takes for one prompt token; 0 while unknown.
    std::uint32_t microsPerPromptToken = 0;

    bool operator==(const Credit &) const = default;
};

struct Grant
{
    std::vector<Credit> credits;

    bool operator==(const Grant &) const = default;
};

/// Gate to entry: the credits are void. One spent meanwhile is refused and its request waits on.
struct RecallCredits
{
    std::vector<CreditId> credits;

    bool operator==(const RecallCredits &) const = default;
};

struct ReturnCredits
{
    std::vector<CreditId> credits;

    bool operator==(const ReturnCredits &) const = default;
};

/// The request as its caller sent it, without hop-by-hop headers.
struct RequestBody
{
    std::string method;
    /// Path at the engine or service.
    std::string path;
    std::string contentType;
    std::string body;
    bool stream = false;

    bool operator==(const RequestBody &) const = default;
};

/// Spends a credit. The gate starts the request at most once.
struct Dispatch
{
    RequestId request;
    CreditId credit = 0;
    Incarnation gate = 0;
    std::string target;
    TierRank tier = 0;
    std::string workspace;
    Fingerprint fingerprint = 0;
    /// Time left to the deadline when the message was sent.
    std::uint32_t remainingMs = 0;
    /// Time from the receipt of the credit to this message.
    std::uint32_t heldMs = 0;
    std::uint32_t promptTokens = 0;
    /// A suspect runs alone: the gate grants nothing else while it is in flight.
    bool alone = false;
    /// The gate keeps the whole answer for retries of the same key.
    bool keyed = false;
    RequestBody body;

    bool operator==(const Dispatch &) const = default;
};

struct Accepted
{
    RequestId request;

    bool operator==(const Accepted &) const = default;
};

/// The request did not run and will not run under its credit.
struct Refused
{
    RequestId request;
    CreditId credit = 0;
    ErrorKind kind = ErrorKind::Internal;

    bool operator==(const Refused &) const = default;
};

struct AnswerHead
{
    RequestId request;
    std::uint16_t status = 0;
    std::string contentType;

    bool operator==(const AnswerHead &) const = default;
};

struct AnswerChunk
{
    RequestId request;
    std::uint64_t offset = 0;
    std::string bytes;

    bool operator==(const AnswerChunk &) const = default;
};

/// Ends an answer. `complete` answers carry their length and checksum.
struct AnswerEnd
{
    RequestId request;
    bool complete = false;
    std::uint64_t length = 0;
    std::uint32_t crc = 0;
    /// Why the answer is not complete.
    ErrorKind kind = ErrorKind::Internal;

    bool operator==(const AnswerEnd &) const = default;
};

/// The entry has taken the answer up to `offset`; `final` releases it.
struct AnswerAck
{
    RequestId request;
    std::uint64_t offset = 0;
    bool final = false;

    bool operator==(const AnswerAck &) const = default;
};

struct Cancel
{
    RequestId request;

    bool operator==(const Cancel &) const = default;
};

/// Asks for the fate of a request and for its answer from `offset` on.
/// A credit that was not spent is revoked, which proves that the request did not run.
struct StatusQuery
{
    RequestId request;
    CreditId credit = 0;
    Incarnation gate = 0;
    std::uint64_t offset = 0;

    bool operator==(const StatusQuery &) const = default;
};

enum class RequestFate : std::uint8_t {
    /// Proved: did not and will not run under that credit.
    NotRun,
    Running,
    Finished,
    /// Ran, but the answer is no longer held.
    AnswerGone,
    /// The gate cannot tell: another incarnation had the request.
    Unknown,
};

struct StatusReply
{
    RequestId request;
    RequestFate fate = RequestFate::Unknown;

    bool operator==(const StatusReply &) const = default;
};

struct ConfigPush
{
    Generation generation = 0;
    std::string text;

    bool operator==(const ConfigPush &) const = default;
};

struct FingerprintReports
{
    std::vector<FingerprintReport> reports;

    bool operator==(const FingerprintReports &) const = default;
};

/// Every message between an entry and a gate.
using PeerMessage =
    std::variant<EntryHeartbeat, GateHeartbeat, Demand, Grant, RecallCredits, ReturnCredits,
                 Dispatch, Accepted, Refused, AnswerHead, AnswerChunk, AnswerEnd, AnswerAck, Cancel,
                 StatusQuery, StatusReply, ConfigPush, FingerprintReports>;

} // namespace tamarack
