#pragma once

#include "base/Time.h"
#include "serving/DispatchQueue.h"
#include "serving/UpstreamTable.h"
#include "serving/WaitPolicy.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tamarack::harness {

/// Requests of one kind that arrive as a Poisson process, spread over the entries.
struct LoadKind
{
    std::string name;
    QueueRank rank = 0;
    double perSecond = 0;
    std::uint32_t promptTokens = 0;
    /// Mean number of events per response; the number is exponentially distributed.
    double events = 0;
    Duration objective{};
    Duration deadline{};
    /// Longest interval between two events of a response that is on time; 0: any.
    Duration pauseObjective{};
};

struct RequestCounts
{
    int arrivals = 0;
    int served = 0;
    int onTime = 0;
    /// Clients that came back after a refusal, and those of them that were served.
    int returned = 0;
    int returnsServed = 0;
    /// Refusals after more than half of the objective.
    int heldInVain = 0;

    /// Share of all first attempts that were served.
    double servedAtOnceShare() const
    {
        return arrivals == 0 ? 1 : static_cast<double>(served - returnsServed) / arrivals;
    }
    double returnsServedShare() const
    {
        return returned == 0 ? 1 : static_cast<double>(returnsServed) / returned;
    }
    RequestCounts &operator+=(const RequestCounts &other);

    double servedShare() const
    {
        return arrivals == 0 ? 1 : static_cast<double>(served) / arrivals;
    }
    double onTimeShare() const
    {
        return arrivals == 0 ? 1 : static_cast<double>(onTime) / arrivals;
    }
};

struct QueueSimulationOptions
{
    int entries = 8;
    int upstreams = 10;
    int slots = 6;
    /// This many of the upstreams need `slowFactor` times as long for prompts and events.
    int slowUpstreams = 0;
    double slowFactor = 1;
    /// Interval at which an entry reports its loads and demand to the others.
    Duration reportInterval = milliseconds(70);
    /// Engines state their load and pace with the first token.
    bool statesLoad = false;
    /// In each interval, this share of the engines needs `slowdown` times as long for new requests.
    double slowdownShare = 0;
    double slowdown = 1;
    Duration slowdownInterval = milliseconds(600);
    /// Peaks in which `peakFactor` times as many requests arrive.
    Duration peakEvery{};
    Duration peakLength{};
    double peakFactor = 1;
    SchedulingOptions scheduling;
    std::uint64_t seed = 1;
};

/// Simulates the queues of several entries and the engines of one service on a virtual clock.
/// Clients retry once after a refusal, at the time given by `Retry-After`. An engine runs as many
/// requests as it has slots and queues the rest in order of arrival. A prompt that starts delays
/// the next event of each stream that runs at its engine.
class QueueSimulation
{
public:
    QueueSimulation(QueueSimulationOptions options, std::vector<LoadKind> kinds);

    /// Generates arrivals for `length`, then continues until all requests have ended.
    void run(Duration length);

    const RequestCounts &count(std::size_t kind) const { return m_counts[kind]; }
    RequestCounts total() const;
    /// Starts, and those at an engine where more than 3 requests wait while another stands free.
    struct StartCounts
    {
        int all = 0;
        int queuedBesideFree = 0;

        double queuedShare() const { return all == 0 ? 0 : double(queuedBesideFree) / all; }
    };
    const StartCounts &starts() const { return m_starts; }

private:
    struct Call
    {
        std::size_t kind = 0;
        std::uint32_t events = 0;
        TimePoint arrivedAt;
        TimePoint queuedAt;
        TimePoint deadlineAt;
        bool isRetry = false;
    };
    struct Entry
    {
        UpstreamTable upstreams;
        std::unique_ptr<DispatchQueue> queue;
        std::map<Ticket, Call> calls;
        std::vector<std::pair<UpstreamKey, UpstreamLoad>> reportedLoads;
        std::vector<QueueDemand> reportedDemand;
        std::vector<std::pair<ReportedOccupancy, TimePoint>> reportedOccupancies;
        std::pair<std::vector<ReturnSlots>, TimePoint> reportedReturns;
    };
    struct Run
    {
        Duration longestPause{};
    };
    struct Engine
    {
        double factor = 1;
        std::uint64_t number = 0;
        std::set<std::shared_ptr<Run>> running;
        std::deque<std::function<void()>> waiting;
    };

    void schedule(Duration delay, std::function<void()> action);
    void arrive(std::size_t kind);
    bool isPeak() const;
    void submit(Call call);
    void applyDecisions(Entry &entry);
    void start(Entry &entry, const Assignment &assignment);
    bool isFree(const Engine &engine) const;
    void countStart(const Engine &engine);
    double slowness(const Engine &engine) const;
    void stateLoad(Entry &entry, UpstreamState &upstream, const Engine &engine);
    /// Adds the stream to the engine and delays the others that run there.
    static std::shared_ptr<Run> addRun(Engine &engine, std::uint32_t freshTokens);
    void execute(Entry &entry, const Call &call, const UpstreamPtr &upstream,
                 std::uint32_t freshTokens);
    void scheduleRetry(Call call, Duration retryAfter);
    void reportLoad(Entry &entry);
    void receiveLoads(Entry &entry);

    QueueSimulationOptions m_options;
    std::vector<LoadKind> m_kinds;
    std::vector<RequestCounts> m_counts;
    StartCounts m_starts;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::map<UpstreamKey, Engine> m_engines;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::mt19937_64 m_random;
    TimePoint m_start{std::chrono::seconds(1000)};
    TimePoint m_now = m_start;
    TimePoint m_arrivalsEnd;
    Ticket m_lastTicket = 0;
};

} // namespace tamarack::harness
