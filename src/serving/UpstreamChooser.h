#pragma once

#include "base/Time.h"
#include "sched/AffinityMap.h"
#include "serving/UpstreamTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

struct QueuedRequest;

/// Where a request starts best, and what that costs.
struct UpstreamChoice
{
    /// Null when no upstream has a place for it.
    UpstreamPtr upstream;
    /// Prompt tokens that the upstream probably has to compute.
    std::uint32_t freshTokens = 0;
    /// Time to the first token.
    Duration predicted{};
    double costMs = 0;
};

/// Chooses the upstream for a request that may start.
///
/// Load: engines of unlike speed, prompts and answers a hundredfold apart in length, prompts whose
/// parts engines cache. The cost is the time to the first token, what the request slows down, what
/// it makes late, and the price of a fast engine's place, dearer the fewer are left. A long answer
/// waits for an engine that can end it before its deadline while there is one: on a slow engine it
/// would hold a place for all its time and be lost.
class UpstreamChooser
{
public:
    UpstreamChooser(const UpstreamTable &upstreams, std::string dataCentre);

    UpstreamChoice choose(const QueuedRequest &request, TimePoint now) const;

    /// The request has started there: its prompt will be cached.
    void recordStart(const QueuedRequest &request, const UpstreamState &upstream);

private:
    /// Upstreams of a service by speed, as far as free places go.
    struct Speeds
    {
        /// Faster than this is fast.
        double fastFactor = 0;
        /// Share of the places of fast upstreams that are taken.
        double fastTaken = 0;
    };
    Speeds speeds(const std::vector<UpstreamPtr> &upstreams, TimePoint now) const;
    UpstreamChoice evaluate(const QueuedRequest &request, const UpstreamPtr &upstream,
                            UpstreamKey home, const Speeds &speeds, TimePoint now) const;
    /// Whether the whole answer is expected there before the deadline, with a reserve.
    bool endsInTime(const QueuedRequest &request, const UpstreamState &upstream,
                    Duration firstToken, TimePoint now) const;
    /// Time that is wasted or late if the request runs there.
    double lateCost(const QueuedRequest &request, const UpstreamState &upstream,
                    Duration firstToken, TimePoint now) const;
    static UpstreamKey homeOf(std::uint64_t prefix, const std::vector<UpstreamPtr> &upstreams);

    const UpstreamTable &m_upstreams;
    std::string m_dataCentre;
    AffinityMap m_affinity;
};

} // namespace tamarack
