#pragma once

#include "base/RequestId.h"
#include "serving/CrashLedger.h"
#include "serving/DispatchQueue.h"
#include "serving/QuotaLedger.h"
#include "serving/ToldTerms.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// What one entry tells the others, whole each time: a lost message costs only time.
struct EntryLoad
{
    std::string name;
    std::string dataCentre;
    Incarnation incarnation = 0;
    /// Increases with each message of an incarnation.
    std::uint64_t sequence = 0;
    std::uint64_t configVersion = 0;
    /// Revision of the store up to which a follower has seen upstreams change; 0: no follower.
    std::uint64_t upstreamRevision = 0;
    std::vector<std::pair<UpstreamKey, UpstreamLoad>> loads;
    std::vector<QueueDemand> demand;
    std::vector<QuotaUse> quotas;
    std::vector<ToldCrash> crashes;
    std::vector<ToldTerms> terms;
    /// Stops as planned; takes no new requests.
    bool leaving = false;

    bool operator==(const EntryLoad &) const = default;
};

} // namespace tamarack
