#pragma once

#include "config/FleetConfig.h"
#include "serving/FadingCount.h"

#include <map>

namespace tamarack {

/// Keeps one kind of request of a service from starving another; kinds are told apart by the tier
/// of their routes.
///
/// Load: above capacity for longer than a burst. Strict order by the tier of the route gives the
/// last kind what is left, which may be nothing. Each kind is due a part of the share of requests
/// that the service as a whole gets started; what it lacks comes from the least urgent kind that
/// has more than that.
class KindShares
{
public:
    /// A request of the kind came for the first time.
    void countArrival(TierRank kind, TimePoint now);
    void countStart(TierRank kind, TimePoint now);

    /// Starts that the kind lacks to its due share; 0 when it has that.
    double missingStarts(TierRank kind, TimePoint now) const;

    /// The kind that missing starts of `kind` are taken from: of the more urgent ones that have
    /// more than their due share, the least urgent. `kind` itself when there is none.
    TierRank donor(TierRank kind, TimePoint now) const;

private:
    struct Counts
    {
        FadingCount arrivals{memory};
        FadingCount starts{memory};
    };

    /// Share of the service's requests that were started.
    double serviceShare(TimePoint now) const;
    /// Starts beyond the due share; negative when they are missing.
    static double surplus(const Counts &counts, double serviceShare, TimePoint now);

    /// Longer than a burst: during a short one the order stays strict.
    static constexpr std::chrono::seconds memory{8};

    std::map<TierRank, Counts> m_counts;
};

} // namespace tamarack
