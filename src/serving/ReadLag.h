#pragma once

#include "base/Time.h"

#include <algorithm>

namespace tamarack {

/// How long requests that are read now have probably lain unread, from how late this process comes
/// to a timer. A process that is behind reads in large batches: what it reads arrived during the
/// batch before, half of it ago on the whole. A request that is taken for too young is answered too
/// long after its timeout, so none counts as younger than that allows.
///
/// Load: hosts of a tenth of a core under bursts, and processes that were paused. What comes after
/// a pause is not old, so a process that was late looks again soon.
class ReadLag
{
public:
    /// Pause before the next look.
    Duration interval() const { return isBehind() ? watchfulInterval : calmInterval; }
    /// The next look is due at this time.
    void expect(TimePoint due) { m_due = due; }
    /// The look that was due is made.
    void note(TimePoint now) { m_lateness = std::max(Duration::zero(), now - m_due); }

    Duration lateness() const { return m_lateness; }
    bool isBehind() const { return m_lateness > lateBound; }
    /// A request can be read before the look that is due already.
    Duration readDelay(TimePoint now) const
    {
        const Duration lateness = std::max(m_lateness, now - m_due);
        return std::max<Duration>(lateness / 2, lateness - youngestError);
    }

    static constexpr milliseconds calmInterval{100};
    static constexpr milliseconds watchfulInterval{5};
    /// Lateness that shows that the process is behind its work.
    static constexpr milliseconds lateBound{200};
    /// Half of the time after its timeout within which the platform wants a request answered.
    static constexpr milliseconds youngestError{250};

private:
    Duration m_lateness{};
    TimePoint m_due = TimePoint::max();
};

} // namespace tamarack
