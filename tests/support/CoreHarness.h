#pragma once

#include "base/Time.h"
#include "claims/ClaimBook.h"
#include "gate/GateCore.h"
#include "model/EngineModel.h"
#include "model/ObjectTable.h"
#include "sched/EntryCore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tamarack::harness {

/// Points of a request's way at which a fault can be placed.
enum class Step : std::uint8_t {
    Submitted,
    DemandSent,
    CreditReceived,
    ClaimSent,
    ClaimAnswered,
    DispatchSent,
    DispatchArrived,
    Started,
    FirstBytes,
    HalfAnswered,
    EngineEnded,
    EndArrived,
};

struct HarnessOptions
{
    int entries = 2;
    /// Hardware generation of each engine.
    std::vector<int> engines{1, 2, 3};
    int services = 1;
    std::uint64_t seed = 1;
    std::string configText;
    Duration linkDelay = std::chrono::microseconds(1000);
    Duration storeDelay = milliseconds(3);
    std::function<void(EntryOptions &)> adjustEntry;
    std::function<void(GateOptions &)> adjustGate;
    /// Checks the invariants after every event; slow for large runs.
    bool checkAlways = true;
};

/// One call of a caller, and what it was told.
struct CallRecord
{
    int entry = 0;
    Submission submission;
    std::uint32_t outputTokens = 0;
    std::uint32_t prefixTokens = 0;
    RequestId id;
    TimePoint sentAt{};
    TimePoint firstByteAt{};
    TimePoint lastByteAt{};
    TimePoint endedAt{};
    std::string bytes;
    int pieces = 0;
    /// Pieces that came later after the one before than the between-token target.
    int lateGaps = 0;
    int ends = 0;
    bool whole = false;
    /// The caller's entry died before the answer ended.
    bool connectionLost = false;
    std::optional<ErrorKind> failure;
    /// The caller's key as used at the service.
    std::string key;

    bool ended() const { return ends > 0 || connectionLost; }
};

/// Entry and gate cores joined by a scripted clock and network, with small fakes of engines,
/// services and the object API. Every run is determined by its seed and its script.
class CoreHarness
{
public:
    explicit CoreHarness(HarnessOptions options);
    ~CoreHarness();
    CoreHarness(const CoreHarness &) = delete;
    CoreHarness &operator=(const CoreHarness &) = delete;

    TimePoint now() const;
    void run(Duration duration);
    /// Runs `action` at a time from now.
    void after(Duration delay, std::function<void()> action);

    /// A streamed completion; `body` makes the answer unique. Returns the index of the call.
    std::size_t callModel(int entry, TierRank tier, const std::string &workspace,
                          const std::string &body, std::uint32_t promptTokens,
                          std::uint32_t outputTokens, Duration deadline = std::chrono::seconds(30),
                          std::uint64_t prefix = 0, std::uint32_t prefixTokens = 0);
    /// A non-idempotent call of the service with a key.
    std::size_t callService(int entry, const std::string &key, const std::string &body,
                            Duration deadline = std::chrono::seconds(30));
    std::size_t call(int entry, Submission submission, std::uint32_t outputTokens,
                     std::uint32_t prefixTokens = 0);
    void hangUp(std::size_t call);
    const std::vector<CallRecord> &calls() const;

    // Faults. Gates count engines first, then services.
    void killEntry(int entry, Duration restartAfter);
    void pauseEntry(int entry, Duration duration);
    void killGate(int gate, Duration restartAfter);
    void pauseGate(int gate, Duration duration);
    void crashUpstream(int gate, Duration restartAfter);
    void stallUpstream(int gate, Duration duration);
    void slowUpstream(int gate, double factor);
    void cutLink(int entry, int gate);
    /// Swallows everything on the present connection; new connections work.
    void silenceLink(int entry, int gate);
    /// No connection between the two until the time has passed.
    void partition(int entry, int gate, Duration duration);
    void storeDown(Duration duration);
    void storeSlow(Duration delay, Duration duration);
    void storeLosesAnswers(int percent, Duration duration);
    void storeReadsStale(Duration duration);
    void setLeaving(int gate, bool leaving);
    void setHostLeaving(int gate, bool leaving);
    /// Bodies that contain the text crash their engine.
    void crashOn(std::string text);
    /// The store accepts a new configuration; `entry` hears of it, or none when negative.
    Generation acceptConfig(const std::string &text, int entry);

    /// Called when a call's request reaches a step for the first time.
    void onStep(std::function<void(std::size_t call, Step step, int gate)> callback);

    /// Violations of the invariants so far; empty when all hold.
    const std::vector<std::string> &violations() const;
    /// Checks what must hold once nothing is left to happen.
    void checkAtRest();

    int gateCount() const;
    std::string gateName(int gate) const;
    EntryCore &entry(int index);
    GateCore &gate(int index);
    bool entryAlive(int index) const;
    bool gateAlive(int index) const;
    std::uint64_t startsAt(int gate) const;
    std::uint64_t generatedTokens(int gate) const;
    std::uint64_t computedPromptTokens() const;
    /// Sum over the gates of the prompt tokens started, and of those for answers not taken whole.
    std::uint64_t prefillTokens() const;
    std::uint64_t wastedPrefillTokens() const;
    /// Times between the tokens of one tier, in whole milliseconds, the last bin open.
    const std::vector<std::uint64_t> &gapHistogram(TierRank tier) const;
    int upstreamCrashes() const;
    std::uint64_t messages() const;
    std::uint64_t messageBytes() const;
    std::uint64_t storeWrites() const;
    std::uint64_t storeReads() const;
    bool ranAnywhere(RequestId id) const;
    int serviceRuns(const std::string &key) const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// A small configuration with four tiers and one preset more.
std::string defaultConfig(const std::string &preset = "ordinary", std::size_t queueLimit = 100,
                          std::int64_t firstTokenMs = 420);

} // namespace tamarack::harness
