#pragma once

#include "base/Time.h"

namespace tamarack {

/// Number of events of which each loses its weight exponentially with its age.
class FadingCount
{
public:
    /// `fadeTime`: an event keeps 1/e of its weight after this.
    explicit FadingCount(Duration fadeTime)
        : m_fadeTime(fadeTime)
    {}

    /// Events may be told a little out of order. `weight`: for sums over events.
    void add(TimePoint now, double weight = 1);
    double value(TimePoint now) const;
    /// Events a second.
    double perSecond(TimePoint now) const;

private:
    Duration m_fadeTime;
    double m_weight = 0;
    TimePoint m_at{};
};

} // namespace tamarack
