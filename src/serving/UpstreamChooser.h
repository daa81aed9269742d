#pragma once

#include "base/Time.h"
#include "sched/AffinityMap.h"
#include "serving/UpstreamTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

struct QueuedRequest;

/// The best upstream for a request, and the estimated cost of running it there.
struct UpstreamChoice
{
    /// Null when no upstream has a free place.
    UpstreamPtr upstream;
    /// Prompt tokens that the upstream probably has to compute.
    std::uint32_t freshTokens = 0;
    /// Predicted time to the first token.
    Duration predicted{};
    double costMs = 0;
};

/// Chooses the upstream with the lowest estimated cost for a request that is ready to start.
///
/// Engines differ in speed and cache parts of prompts; prompts and responses differ in length by a
/// factor of up to 100. The cost is the sum of the time to the first token, the slowdown of the
/// requests already running there, a penalty for missed objectives and deadlines, and a price for a
/// place at a fast engine that grows as fewer are free. If any available engine can finish a long
/// response before its deadline, the request waits for such an engine: a slow one would be occupied
/// until the deadline and the response would still be lost. Likewise, a long prompt waits for an
/// engine that can process it without delaying the events of its running streams beyond their
/// objective, until it would be refused otherwise.
class UpstreamChooser
{
public:
    UpstreamChooser(const UpstreamTable &upstreams, std::string dataCentre);

    /// Which upstreams a request may choose.
    enum class Pacing : std::uint8_t {
        /// Those at which running streams keep their pace, if there are any.
        Keep,
        /// Also those at which its prompt delays running streams.
        Ignore,
    };

    UpstreamChoice choose(const QueuedRequest &request, Pacing pacing, TimePoint now) const;

    /// Records that the request has started at `upstream`, which will therefore cache its prompt.
    void recordStart(const QueuedRequest &request, const UpstreamState &upstream);

private:
    /// Which upstreams of a service count as fast, and how busy those are.
    struct Speeds
    {
        /// An upstream is fast if its time factor is at most this.
        double fastFactor = 0;
        /// Fraction of the places at fast upstreams that is occupied.
        double fastTaken = 0;
    };
    Speeds speeds(const std::vector<UpstreamPtr> &upstreams, TimePoint now) const;
    UpstreamChoice evaluate(const QueuedRequest &request, const UpstreamPtr &upstream,
                            UpstreamKey home, const Speeds &speeds, TimePoint now) const;
    /// Upstreams among which the request may choose or for which it waits.
    std::vector<UpstreamPtr> suitable(const QueuedRequest &request, Pacing pacing,
                                      TimePoint now) const;
    /// Whether the running streams of the upstream are expected to meet their objective for the
    /// interval between events while the prompt is processed.
    bool keepsPauses(const QueuedRequest &request, const UpstreamState &upstream,
                     double fastestFactor, TimePoint now) const;
    /// Whether the complete response is expected before the deadline, with a safety margin.
    bool endsInTime(const QueuedRequest &request, const UpstreamState &upstream,
                    Duration firstToken, TimePoint now) const;
    /// Penalty for a first token or a complete response that would be late.
    double lateCost(const QueuedRequest &request, const UpstreamState &upstream,
                    Duration firstToken, TimePoint now) const;
    /// Time for which the request is expected to wait at an upstream that states its load, behind
    /// what waits there and what other entries start there before this one hears of it.
    Duration expectedWait(const QueuedRequest &request, const UpstreamState &upstream,
                          double factor, TimePoint now) const;
    static UpstreamKey homeOf(std::uint64_t prefix, const std::vector<UpstreamPtr> &upstreams);

    const UpstreamTable &m_upstreams;
    std::string m_dataCentre;
    AffinityMap m_affinity;
};

} // namespace tamarack
