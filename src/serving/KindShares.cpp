#include "serving/KindShares.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Minimum fraction of its service's share of started requests that a kind is guaranteed. The
/// platform's contract considers a kind starved below 0.25 of the share over all requests,
/// including those of other services.
constexpr double minGuaranteedShare = 1.0 / 3;
/// A kind whose requests take this many times less engine time than those of the more urgent kinds
/// is guaranteed the full share.
constexpr double fullShareRatio = 6;

} // namespace

void KindShares::countArrival(TierRank kind, Duration engineTime, TimePoint now)
{
    Counts &counts = m_counts[kind];
    counts.arrivals.add(now);
    counts.engineTime.add(now, std::chrono::duration<double>(engineTime).count());
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

double KindShares::minMoreUrgentShare(TierRank kind, TimePoint now) const
{
    double least = 1;
    for (auto row = m_counts.begin(); row != m_counts.end() && row->first < kind; ++row) {
        const double arrivals = row->second.arrivals.value(now);
        if (arrivals > 0)
            least = std::min(least, row->second.starts.value(now) / arrivals);
    }
    return least;
}

double KindShares::guaranteedShare(TierRank kind, TimePoint now) const
{
    const auto own = m_counts.find(kind);
    double moreUrgentArrivals = 0;
    double moreUrgentTime = 0;
    for (auto row = m_counts.begin(); row != own; ++row) {
        moreUrgentArrivals += row->second.arrivals.value(now);
        moreUrgentTime += row->second.engineTime.value(now);
    }
    if (own == m_counts.end() || moreUrgentArrivals <= 0)
        return minGuaranteedShare;
    const double ownTime = own->second.engineTime.value(now) / own->second.arrivals.value(now);
    const double ratio = ownTime > 0 ? moreUrgentTime / moreUrgentArrivals / ownTime : 1;
    return std::clamp(ratio / fullShareRatio, minGuaranteedShare, 1.0);
}

double KindShares::surplus(TierRank kind, const Counts &counts, TimePoint now) const
{
    const double share = serviceShare(now);
    const double guaranteed =
        std::min(guaranteedShare(kind, now) * share, minMoreUrgentShare(kind, now));
    return counts.starts.value(now)
           - std::max(guaranteed, minGuaranteedShare * share) * counts.arrivals.value(now);
}

double KindShares::startDeficit(TierRank kind, TimePoint now) const
{
    const auto own = m_counts.find(kind);
    if (own == m_counts.end())
        return 0;
    return std::max(0.0, -surplus(kind, own->second, now));
}

TierRank KindShares::donor(TierRank kind, TimePoint now) const
{
    TierRank donor = kind;
    for (auto row = m_counts.begin(); row != m_counts.end() && row->first < kind; ++row)
        if (surplus(row->first, row->second, now) > 0)
            donor = row->first;
    return donor;
}

} // namespace tamarack
