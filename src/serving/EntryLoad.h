#pragma once

#include "base/RequestId.h"
#include "base/StorePosition.h"
#include "serving/CrashLedger.h"
#include "serving/DispatchQueue.h"
#include "serving/OccupancyModel.h"
#include "serving/PartCrash.h"
#include "serving/QuotaLedger.h"
#include "serving/ReturnSlots.h"
#include "serving/RolloutReport.h"
#include "serving/TermsReport.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// State that one entry reports to the others. Each message is a full snapshot, so that a lost one
/// only delays the update.
struct EntryLoad
{
    std::string name;
    std::string dataCentre;
    Incarnation incarnation = 0;
    /// Increases with each message of the same incarnation.
    std::uint64_t sequence = 0;
    std::uint64_t configVersion = 0;
    /// Position in the store up to which this entry has followed upstream changes; revision 0: it
    /// does not follow them.
    StorePosition upstreamPosition;
    std::vector<std::pair<UpstreamKey, UpstreamLoad>> loads;
    std::vector<QueueDemand> demand;
    std::vector<QuotaUse> quotas;
    std::vector<ReportedCrash> crashes;
    std::vector<ReportedPartCrash> partCrashes;
    std::vector<ReportedPartAnswer> partAnswers;
    std::vector<TermsReport> terms;
    std::vector<RolloutReport> rollouts;
    std::vector<ReportedOccupancy> occupancies;
    std::vector<ReturnSlots> returns;
    /// The entry is shutting down gracefully and takes no new requests.
    bool leaving = false;

    bool operator==(const EntryLoad &) const = default;
};

} // namespace tamarack
