#pragma once

#include "base/Time.h"
#include "config/FleetConfig.h"
#include "serving/DecayingCount.h"

#include <map>

namespace tamarack {

/// Keeps one kind of request of a service from starving another; kinds are told apart by the tier
/// of their routes.
///
/// Load: above capacity for longer than a burst. Strict order by the tier of the route gives the
/// last kind what is left, which may be nothing. Each kind is due a part of the share of requests
/// that the service as a whole gets started; what it lacks comes from the least urgent kind that
/// has more than that. A kind whose requests take little engine time beside those of the more
/// urgent kinds is due more, up to the share that these get: one long request of theirs makes room
/// for several of its own.
class KindShares
{
public:
    /// A request of the kind came for the first time. `engineTime`: that it will probably take.
    void countArrival(TierRank kind, Duration engineTime, TimePoint now);
    void countStart(TierRank kind, TimePoint now);

    /// Starts that the kind lacks to its due share; 0 when it has that.
    double missingStarts(TierRank kind, TimePoint now) const;

    /// The kind that missing starts of `kind` are taken from: of the more urgent ones that have
    /// more than their due share, the least urgent. `kind` itself when there is none.
    TierRank donor(TierRank kind, TimePoint now) const;

    /// Part of the service's share of started requests that the kind is due.
    double dueShare(TierRank kind, TimePoint now) const;

private:
    struct Counts
    {
        DecayingCount arrivals{memory};
        DecayingCount starts{memory};
        /// Of the arrivals, in seconds.
        DecayingCount engineTime{memory};
    };

    /// Share of the service's requests that were started.
    double serviceShare(TimePoint now) const;
    /// Of the kinds before `kind`, the smallest share that was started.
    double leastShareBefore(TierRank kind, TimePoint now) const;
    /// Starts that the kind has beyond its due share; negative when they are missing.
    double surplus(TierRank kind, const Counts &counts, TimePoint now) const;

    /// Longer than a burst: during a short one the order stays strict.
    static constexpr std::chrono::seconds memory{8};

    std::map<TierRank, Counts> m_counts;
};

} // namespace tamarack
