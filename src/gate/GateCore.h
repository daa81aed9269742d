#pragma once

#include "base/Time.h"
#include "config/FleetConfig.h"
#include "peer/Messages.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// One authenticated connection of an entry to this gate.
using LinkId = std::uint64_t;

/// Fixed facts of one gate.
struct GateOptions
{
    std::string name;
    std::string dataCentre;
    Incarnation incarnation = 0;
    /// True for a model engine, false for a plain service.
    bool engine = true;
    std::vector<std::string> targets;
    int capacity = 64;
    Duration creditLife = milliseconds(1000);
    Duration silence = milliseconds(1500);
    Duration heartbeat = milliseconds(200);
    Duration keyRetention = std::chrono::hours(1);
    std::size_t keptAnswerBytes = 64ULL << 20;
    /// Credits offered ahead of demand while capacity is idle.
    bool spareCredits = true;
    /// False keeps the limit at `capacity`; for experiments.
    bool adaptiveLimit = true;
    std::uint64_t seed = 1;
};

/// What a health probe found. A silent upstream may still run requests; a down one does not.
enum class EngineHealth : std::uint8_t { Up, Silent, Down };

/// Who is at the other end of a link.
struct EntryIdentity
{
    std::string name;
    std::string dataCentre;
    Incarnation incarnation = 0;
};

namespace gate {

struct Send
{
    LinkId link = 0;
    PeerMessage message;
};

/// Start the request at the engine or service. Emitted at most once for a request.
struct Start
{
    RequestId request;
    std::string target;
    RequestBody body;
    Duration timeout{};
};

struct CancelStream
{
    RequestId request;
};

/// Continue to read a running stream of the engine from `offset`.
struct ResumeStream
{
    RequestId request;
    std::uint64_t offset = 0;
};

/// Close the link; its peer broke the protocol or went silent.
struct CloseLink
{
    LinkId link = 0;
};

} // namespace gate

using GateAction =
    std::variant<gate::Send, gate::Start, gate::CancelStream, gate::ResumeStream, gate::CloseLink>;

/// A stream that the engine already ran when this process started.
struct RunningStream
{
    RequestId request;
    std::string target;
};

/// What the gate tells operators and metrics.
struct GateStatus
{
    std::size_t inFlight = 0;
    std::size_t openCredits = 0;
    std::size_t keptBytes = 0;
    int limit = 0;
    bool engineUp = false;
    bool leaving = false;
    Generation generation = 0;
    std::vector<EntryReport> entries;
};

/// Counters of the gate, by reason.
struct GateCounters
{
    std::uint64_t started = 0;
    std::uint64_t duplicateDispatches = 0;
    std::uint64_t refusedExpired = 0;
    std::uint64_t refusedStale = 0;
    std::uint64_t refusedDraining = 0;
    std::uint64_t refusedDeadline = 0;
    std::uint64_t refusedEngine = 0;
    std::uint64_t refusedQuarantined = 0;
    std::uint64_t provedNotRun = 0;
    std::uint64_t crashes = 0;
    std::uint64_t wastedPrefillTokens = 0;
    std::uint64_t prefillTokens = 0;
};

/// The decisions of the process beside one upstream: who gets a credit, whether a dispatch may
/// start, and what is known of each request. Pure: time and events come in, actions come out.
class GateCore
{
public:
    explicit GateCore(GateOptions options);
    ~GateCore();
    GateCore(const GateCore &) = delete;
    GateCore &operator=(const GateCore &) = delete;

    void linkUp(LinkId link, const EntryIdentity &entry, TimePoint now);
    void linkDown(LinkId link, TimePoint now);
    void receive(LinkId link, const PeerMessage &message, TimePoint now);

    /// Result of a health probe. `boot` changes when the upstream's process restarts.
    void engineHealth(EngineHealth health, std::uint64_t boot, TimePoint now);
    /// Streams found running at the engine when this process started.
    void adopt(const RunningStream &stream, TimePoint now);
    void answerHead(RequestId request, std::uint16_t status, std::string_view contentType,
                    TimePoint now);
    /// `tokens` is how many tokens the bytes carry, for the limits.
    void answerBytes(RequestId request, std::string_view bytes, int tokens, TimePoint now);
    void answerEnd(RequestId request, bool complete, TimePoint now);
    /// The engine answered that it does not take the request.
    void engineRefused(RequestId request, TimePoint now);
    /// Nothing of the request was sent to the upstream.
    void startFailed(RequestId request, TimePoint now);
    /// The stream broke while the engine may still run it.
    void streamBroken(RequestId request, TimePoint now);

    /// Applies a configuration if it is newer; true when it was.
    bool applyConfig(const FleetConfigPtr &config, TimePoint now);
    /// The host list or a signal says that this upstream leaves.
    void setLeaving(bool leaving, TimePoint now);
    void setTargets(std::vector<std::string> targets);

    void tick(TimePoint now);

    /// Actions decided since the last call.
    std::vector<GateAction> takeActions();

    /// Whether the reader of an answer should pause until its caller has taken more.
    bool answerIsAhead(RequestId request) const;
    /// Nothing is in flight and every answer has been taken.
    bool idle() const;
    GateStatus status() const;
    const GateCounters &counters() const;
    const FleetConfigPtr &config() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace tamarack
