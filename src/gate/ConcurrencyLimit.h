#pragma once

#include "base/Time.h"

namespace tamarack {

/// Adaptive bound on the requests in flight at one engine. Grows while the share of
/// between-token times over the target stays small, shrinks as soon as it does not.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(int highest);

    void setTarget(Duration betweenTokens) { m_target = betweenTokens; }

    /// Records the time since the previous token of the same answer.
    void recordGap(Duration gap, TimePoint now);

    /// Evaluates a window of samples once it is long enough. `inFlight` is the current use.
    void evaluate(int inFlight, TimePoint now);

    /// Halves the limit, for an engine that stopped making progress.
    void recordStall();

    int limit() const;

private:
    void resetWindow(TimePoint now);

    int m_highest = 0;
    double m_limit = 0;
    bool m_slowStart = true;
    Duration m_target = milliseconds(35);
    TimePoint m_windowStart{};
    int m_samples = 0;
    int m_overTarget = 0;
    /// Share of late tokens, averaged over the latest windows.
    double m_overShare = 0;
    int m_farOverTarget = 0;
    int m_peakUse = 0;
};

} // namespace tamarack
