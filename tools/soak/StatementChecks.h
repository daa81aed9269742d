#pragma once

#include "base/Time.h"
#include "soak/Disturbances.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace tamarack::soak {

/// Checks that entries keep to what upstreams say of themselves, from what the upstreams see. Each
/// function returns what is broken, if anything is.
class StatementChecks
{
public:
    using Finding = std::optional<std::string>;

    explicit StatementChecks(const Disturbances &disturbances)
        : m_disturbances(disturbances)
    {}

    /// From now on its answers name this limit in requests a second; none: they name none.
    void namesLimit(std::size_t upstream, std::optional<double> perSecond, TimePoint now);
    /// From now on its answers say that it leaves.
    void saysThatItLeaves(std::size_t upstream, TimePoint now);
    /// A new incarnation stands in its place.
    void isReplaced(std::size_t upstream);

    /// The upstream got a request that a caller had sent to the entry at `sentAt`.
    Finding arrived(std::size_t upstream, std::size_t entry, TimePoint sentAt, TimePoint now);
    /// The upstream turned a request away and wants none from the entry for `closedFor`.
    void turnedAway(std::size_t upstream, std::size_t entry, Duration closedFor, TimePoint now);
    /// The entry has passed on an answer whose head the upstream made at `madeAt`.
    void passedOn(std::size_t upstream, std::size_t entry, TimePoint madeAt, TimePoint now);

private:
    struct Arrival
    {
        TimePoint at;
        std::size_t entry = 0;
    };
    struct Closing
    {
        TimePoint at;
        TimePoint until;
        int arrivals = 0;
    };
    struct Upstream
    {
        std::optional<double> limit;
        TimePoint limitSince;
        std::optional<TimePoint> leavingSince;
        /// Entries that have passed on the limit, and that it leaves.
        std::map<std::size_t, TimePoint> limitTold;
        std::map<std::size_t, TimePoint> leavingTold;
        std::map<std::size_t, Closing> closings;
        std::deque<Arrival> arrivals;
    };

    bool isExcused(std::size_t entry, TimePoint from, TimePoint now) const;
    /// Whether the entry has passed on the limit long enough ago and was not disturbed since.
    bool knowsLimit(const Upstream &upstream, std::size_t entry, TimePoint now) const;
    Finding checkLimit(const Upstream &upstream, std::size_t entry, TimePoint now) const;
    Finding checkLeaving(const Upstream &upstream, std::size_t entry, TimePoint sentAt,
                         TimePoint now) const;
    Finding checkClosed(Upstream &upstream, std::size_t entry, TimePoint now) const;

    const Disturbances &m_disturbances;
    std::map<std::size_t, Upstream> m_upstreams;
};

} // namespace tamarack::soak
