#include "serving/KindShares.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Part of its service's share of started requests that a kind is due. The platform's contract
/// calls a kind starved below 0.25 of the share of all requests, those of other services included.
constexpr double dueShare = 1.0 / 3;

} // namespace

void KindShares::countArrival(TierRank kind, TimePoint now)
{
    m_counts[kind].arrivals.add(now);
}

void KindShares::countStart(TierRank kind, TimePoint now)
{
    m_counts[kind].starts.add(now);
}

double KindShares::serviceShare(TimePoint now) const
{
    double arrivals = 0;
    double starts = 0;
    for (const auto &[kind, counts] : m_counts) {
        arrivals += counts.arrivals.value(now);
        starts += counts.starts.value(now);
    }
    return arrivals > 0 ? std::min(1.0, starts / arrivals) : 1;
}

double KindShares::surplus(const Counts &counts, double serviceShare, TimePoint now)
{
    return counts.starts.value(now) - dueShare * serviceShare * counts.arrivals.value(now);
}

double KindShares::missingStarts(TierRank kind, TimePoint now) const
{
    const auto own = m_counts.find(kind);
    if (own == m_counts.end())
        return 0;
    return std::max(0.0, -surplus(own->second, serviceShare(now), now));
}

TierRank KindShares::donor(TierRank kind, TimePoint now) const
{
    const double share = serviceShare(now);
    TierRank donor = kind;
    for (auto row = m_counts.begin(); row != m_counts.end() && row->first < kind; ++row)
        if (surplus(row->second, share, now) > 0)
            donor = row->first;
    return donor;
}

} // namespace tamarack
