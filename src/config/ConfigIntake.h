#pragma once

#include "base/Time.h"
#include "config/FleetConfig.h"

namespace tamarack {

/// The configuration in force in one process. Only a higher generation is ever applied. A fresh
/// process takes what its peers offer only after it has heard several of them, because a single
/// one may be behind.
class ConfigIntake
{
public:
    static constexpr milliseconds gatherTime{1000};

    const FleetConfigPtr &current() const { return m_current; }

    /// From a read of the object API that is known to be fresh. True when it was applied.
    bool offerStored(const FleetConfigPtr &config);
    /// From a peer. True when it was applied at once.
    bool offerFromPeer(const FleetConfigPtr &config, TimePoint now);
    /// Applies what was gathered once the gathering time is over; true when it was applied.
    bool tick(TimePoint now);

private:
    FleetConfigPtr m_current;
    FleetConfigPtr m_gathered;
    TimePoint m_gatherUntil{};
};

} // namespace tamarack
