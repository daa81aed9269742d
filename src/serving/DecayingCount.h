#pragma once

#include "base/Time.h"

namespace tamarack {

/// Exponentially decaying event count: the weight of each event decreases with its age.
class DecayingCount
{
public:
    /// `timeConstant`: the time constant, after which an event keeps 1/e of its weight.
    explicit DecayingCount(Duration timeConstant)
        : m_timeConstant(timeConstant)
    {}

    /// Events may be added slightly out of order. `weight` makes the count a weighted sum.
    void add(TimePoint now, double weight = 1);
    double value(TimePoint now) const;
    /// Events per second.
    double perSecond(TimePoint now) const;

private:
    Duration m_timeConstant;
    double m_weight = 0;
    TimePoint m_at{};
};

} // namespace tamarack
