#pragma once

#include "base/Time.h"

namespace tamarack {

/// Adaptive limit on the number of requests in flight at one engine. Increases while only a small
/// share of inter-token latencies exceeds the target, and decreases as soon as that share grows.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(int highest);

    void setTarget(Duration betweenTokens) { m_target = betweenTokens; }

    /// Records one inter-token latency: the time since the previous token of the same response.
    void recordGap(Duration gap, TimePoint now);

    /// Adjusts the limit once the current sample window is long enough. `inFlight` is the number of
    /// requests in flight now.
    void evaluate(int inFlight, TimePoint now);

    /// Halves the limit because the engine has stopped making progress.
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
    /// Moving average over windows of the share of tokens later than the target.
    double m_overShare = 0;
    int m_farOverTarget = 0;
    int m_peakUse = 0;
};

} // namespace tamarack
