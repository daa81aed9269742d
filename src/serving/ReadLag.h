#pragma once

#include "base/Time.h"

namespace tamarack {

/// How long requests that are read now have probably lain unread, from how late this process comes
/// to a timer. A process that is behind reads in large batches: what it reads arrived during the
/// batch before, half of it ago.
///
/// Load: hosts of a tenth of a core under bursts, and processes that were paused. What comes after
/// a pause is not old, so a process that was late looks again soon.
class ReadLag
{
public:
    /// Pause before the next look.
    Duration interval() const { return isBehind() ? watchfulInterval : calmInterval; }
    /// A look came this much later than its time.
    void note(Duration lateness)
    {
        m_lateness = lateness > Duration::zero() ? lateness : Duration();
    }

    Duration lateness() const { return m_lateness; }
    bool isBehind() const { return m_lateness > lateBound; }
    Duration readDelay() const { return m_lateness / 2; }

    static constexpr milliseconds calmInterval{100};
    static constexpr milliseconds watchfulInterval{5};
    /// Lateness that shows that the process is behind its work.
    static constexpr milliseconds lateBound{200};

private:
    Duration m_lateness{};
};

} // namespace tamarack
