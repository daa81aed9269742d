#pragma once

#include "base/RequestId.h"
#include "serving/FreshnessGuard.h"
#include "serving/RolloutReport.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace tamarack {

/// Judges a new software version by the answers that all entries have received from it, compared
/// with those of the former version to requests of the same kind at the same time.
///
/// Versions may be bad at once or later, under load only, for one kind of request only, and may be
/// slow instead of failing; upstreams of either version crash and fail for reasons of their own.
/// The evidence of an entry is a sum since the order, so that hearing it twice, late or not at all
/// neither adds to nor takes from what the others have seen.
class RolloutJudge
{
public:
    /// Replaces what this process has seen; sums never fall.
    void apply(Incarnation process, const RolloutEvidence &evidence);
    /// Whether the version is bad by what is known now. Once bad, it stays so.
    bool isBad(BootTime now);
    void condemn() { m_bad = true; }

    struct Side
    {
        std::uint64_t answers = 0;
        std::uint64_t failures = 0;
        std::uint64_t slow = 0;
    };
    Side total(bool isNew) const;
    /// Answers of the new version that became known within the last `window`.
    std::uint64_t recentAnswers() const;

    /// Recent answers are judged by themselves, too: a version that was good for long is bad as
    /// soon as these are.
    static constexpr milliseconds window{3000};
    static constexpr std::size_t maxProcesses = 4096;

private:
    struct KindTotals
    {
        Side former;
        Side current;
    };
    using Totals = std::map<std::uint8_t, KindTotals>;

    Totals totals() const;
    bool differs(const Totals &now, const Totals &since) const;
    static bool exceeds(const Side &current, const Side &former, std::uint64_t Side::*count,
                        double leastExcess, int upstreams);

    std::map<Incarnation, RolloutEvidence> m_evidence;
    std::deque<std::pair<BootTime, Totals>> m_history;
    bool m_bad = false;
};

} // namespace tamarack
