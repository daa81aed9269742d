#pragma once

#include "base/Time.h"
#include "config/FleetConfig.h"
#include "serving/DecayingCount.h"

#include <map>

namespace tamarack {

/// Prevents starvation among the kinds of requests of a service; a kind consists of the requests
/// whose routes have the same tier.
///
/// Under overload that outlasts a burst, strict priority by route tier would leave the last kind
/// only the remaining capacity, which may be none. Each kind is therefore guaranteed a fraction of
/// the share of requests that the service as a whole starts. Starts that a kind lacks are taken
/// from the least urgent of the more urgent kinds that exceed their guaranteed share. A kind whose
/// requests need little engine time compared to those of more urgent kinds is guaranteed more, up
/// to the share that these get: one long request of a more urgent kind makes room for several short
/// ones.
class KindShares
{
public:
    /// Counts a first attempt of a request of the kind and the engine time it is expected to take.
    void countArrival(TierRank kind, Duration engineTime, TimePoint now);
    void countStart(TierRank kind, TimePoint now);

    /// Starts by which the kind falls short of its guaranteed share; 0 if it does not.
    double startDeficit(TierRank kind, TimePoint now) const;

    /// The kind from which missing starts of `kind` are taken: the least urgent of the more urgent
    /// kinds that exceed their guaranteed share. `kind` itself if there is none.
    TierRank donor(TierRank kind, TimePoint now) const;

    /// Fraction of the service's share of started requests guaranteed to the kind.
    double guaranteedShare(TierRank kind, TimePoint now) const;

private:
    struct Counts
    {
        DecayingCount arrivals{decayTime};
        DecayingCount starts{decayTime};
        /// Expected engine time of the arrivals, in seconds.
        DecayingCount engineTime{decayTime};
    };

    /// Share of the service's requests that were started.
    double serviceShare(TimePoint now) const;
    /// Smallest share of started requests among the kinds more urgent than `kind`.
    double minMoreUrgentShare(TierRank kind, TimePoint now) const;
    /// Starts of the kind beyond its guaranteed share; negative if it falls short.
    double surplus(TierRank kind, const Counts &counts, TimePoint now) const;

    /// Decay time of the counts. Longer than a burst, so that priority stays strict during a short
    /// one.
    static constexpr std::chrono::seconds decayTime{8};

    std::map<TierRank, Counts> m_counts;
};

} // namespace tamarack
