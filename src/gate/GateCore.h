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

/// Settings of one gate that do not change while it runs.
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
    /// Whether idle capacity is granted as credits before entries report demand.
    bool spareCredits = true;
    /// If false, the concurrency limit stays at `capacity`. Used in experiments.
    bool adaptiveLimit = true;
    std::uint64_t seed = 1;
};

/// Result of a health probe. An upstream that is `Unresponsive` may still be running
/// requests; one that is down is not.
enum class EngineHealth : std::uint8_t { Up, Unresponsive, Down };

/// Identity of the entry at the other end of a link.
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

/// Start the request at the engine or service. Emitted at most once per request.
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

/// Resume reading a running stream of the engine at `offset`.
struct ResumeStream
{
    RequestId request;
    std::uint64_t offset = 0;
};

/// Close the link because its peer violated the protocol or timed out.
struct CloseLink
{
    LinkId link = 0;
};

} // namespace gate

using GateAction =
    std::variant<gate::Send, gate::Start, gate::CancelStream, gate::ResumeStream, gate::CloseLink>;

/// A stream that was already running at the engine when this process started.
struct RunningStream
{
    RequestId request;
    std::string target;
};

/// State of the gate for operators and metrics.
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

/// Event counters of the gate; refusals are counted by reason.
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

/// Admission logic of the process that runs next to one upstream. Grants credits to entries,
/// decides whether a dispatched request may start, and tracks the state of each request. Performs
/// no I/O and reads no clock: callers pass in events with the current time and execute the actions
/// returned by `takeActions()`.
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

    /// Processes the result of a health probe. `boot` changes when the upstream's process restarts.
    void engineHealth(EngineHealth health, std::uint64_t boot, TimePoint now);
    /// Takes over a stream that was already running at the engine when this process started.
    void adopt(const RunningStream &stream, TimePoint now);
    void answerHead(RequestId request, std::uint16_t status, std::string_view contentType,
                    TimePoint now);
    /// `tokens` is the number of tokens in `bytes`. It feeds the concurrency limit and the prefill
    /// estimate.
    void answerBytes(RequestId request, std::string_view bytes, int tokens, TimePoint now);
    void answerEnd(RequestId request, bool complete, TimePoint now);
    /// The engine responded that it rejects the request.
    void engineRefused(RequestId request, TimePoint now);
    /// The request could not be started; no part of it was sent to the upstream.
    void startFailed(RequestId request, TimePoint now);
    /// The connection carrying the stream was lost; the engine may still run the request.
    void streamBroken(RequestId request, TimePoint now);

    /// Applies the configuration if it is newer than the current one. Returns whether it was.
    bool applyConfig(const FleetConfigPtr &config, TimePoint now);
    /// Sets whether the host list or a signal requests that this upstream leave.
    void setLeaving(bool leaving, TimePoint now);
    void setTargets(std::vector<std::string> targets);

    void tick(TimePoint now);

    /// Returns the actions queued since the last call and clears the queue.
    std::vector<GateAction> takeActions();

    /// Whether the response is buffered so far ahead of its subscribers that reading from the
    /// upstream should pause.
    bool shouldPauseReading(RequestId request) const;
    /// Whether no request is in flight and every response has been delivered.
    bool idle() const;
    GateStatus status() const;
    const GateCounters &counters() const;
    const FleetConfigPtr &config() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace tamarack
