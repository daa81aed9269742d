#pragma once

#include "base/Time.h"

#include <algorithm>

namespace tamarack {

/// Estimates how long a request that is read now has been waiting unread, from how late a periodic
/// timer of this process fires. An overloaded process reads in large batches: a request that it
/// reads arrived while the previous batch was processed, on average half of that batch's duration
/// ago. If the estimate is too low, the request is answered too long after its timeout, so the
/// estimate is never more than `maxUnderestimate` below the lateness.
///
/// This matters on hosts with a tenth of a core under bursts, and for processes that were paused.
/// Requests that arrive after a pause have not waited, so a process that was late checks its timer
/// again after a short interval.
class ReadLag
{
public:
    /// Time until the next check of the timer.
    Duration checkInterval() const { return isBehind() ? overloadedInterval : normalInterval; }
    /// Sets the time at which the next check is due.
    void scheduleCheck(TimePoint due) { m_due = due; }
    /// Records that the check that was due takes place now.
    void recordCheck(TimePoint now) { m_lateness = std::max(Duration::zero(), now - m_due); }

    Duration lateness() const { return m_lateness; }
    bool isBehind() const { return m_lateness > overloadThreshold; }
    /// Estimated time that a request read at `now` has been waiting. Also considers a check that is
    /// overdue but has not taken place yet.
    Duration estimatedUnreadTime(TimePoint now) const
    {
        const Duration lateness = std::max(m_lateness, now - m_due);
        return std::max<Duration>(lateness / 2, lateness - maxUnderestimate);
    }

    static constexpr milliseconds normalInterval{100};
    static constexpr milliseconds overloadedInterval{5};
    /// A process whose timer is later than this counts as overloaded.
    static constexpr milliseconds overloadThreshold{200};
    /// Half of the period after a request's timeout in which the platform still requires a
    /// response.
    static constexpr milliseconds maxUnderestimate{250};

private:
    Duration m_lateness{};
    TimePoint m_due = TimePoint::max();
};

} // namespace tamarack
