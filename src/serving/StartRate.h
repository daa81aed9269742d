#pragma once

#include "base/Time.h"

namespace tamarack {

/// Rate at which requests of one kind have started, with older starts fading.
class StartRate
{
public:
    void count(TimePoint now);
    /// Starts a second.
    double perSecond(TimePoint now) const;

private:
    double faded(TimePoint now) const;

    double m_weight = 0;
    TimePoint m_at{};
};

} // namespace tamarack
