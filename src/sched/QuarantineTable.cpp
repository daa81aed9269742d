#include "sched/QuarantineTable.h"

#include <algorithm>

namespace tamarack {

std::vector<FingerprintReport> QuarantineTable::merge(const std::vector<FingerprintReport> &reports)
{
    std::vector<FingerprintReport> added;
    for (const FingerprintReport &report : reports) {
        Crashes &crashes = m_crashes[report.fingerprint];
        auto &rows = report.cleared ? crashes.cleared : crashes.suspected;
        if (rows.insert(report.crash).second)
            added.push_back(report);
    }
    return added;
}

FingerprintState QuarantineTable::state(Fingerprint fingerprint) const
{
    const auto found = m_crashes.find(fingerprint);
    if (found == m_crashes.end())
        return FingerprintState::Free;
    const Crashes &crashes = found->second;
    const auto live = std::ranges::count_if(crashes.suspected, [&crashes](std::uint64_t crash) {
        return !crashes.cleared.contains(crash);
    });
    if (live == 0)
        return FingerprintState::Free;
    return live == 1 ? FingerprintState::Suspect : FingerprintState::Quarantined;
}

std::vector<FingerprintReport> QuarantineTable::clearingReports(Fingerprint fingerprint) const
{
    std::vector<FingerprintReport> reports;
    const auto found = m_crashes.find(fingerprint);
    if (found == m_crashes.end())
        return reports;
    for (const std::uint64_t crash : found->second.suspected) {
        if (!found->second.cleared.contains(crash))
            reports.push_back({fingerprint, crash, true});
    }
    return reports;
}

std::vector<FingerprintReport> QuarantineTable::clearingReportsForOthers(Fingerprint culprit) const
{
    std::vector<FingerprintReport> reports;
    const auto found = m_crashes.find(culprit);
    if (found == m_crashes.end())
        return reports;
    for (const auto &[fingerprint, crashes] : m_crashes) {
        if (fingerprint == culprit)
            continue;
        for (const std::uint64_t crash : found->second.suspected) {
            if (crashes.suspected.contains(crash))
                reports.push_back({fingerprint, crash, true});
        }
    }
    return reports;
}

std::vector<FingerprintReport> QuarantineTable::rows() const
{
    std::vector<FingerprintReport> reports;
    for (const auto &[fingerprint, crashes] : m_crashes) {
        for (const std::uint64_t crash : crashes.suspected)
            reports.push_back({fingerprint, crash, false});
        for (const std::uint64_t crash : crashes.cleared)
            reports.push_back({fingerprint, crash, true});
    }
    return reports;
}

std::vector<Fingerprint> QuarantineTable::inState(FingerprintState wanted) const
{
    std::vector<Fingerprint> fingerprints;
    for (const auto &[fingerprint, crashes] : m_crashes) {
        if (state(fingerprint) == wanted)
            fingerprints.push_back(fingerprint);
    }
    return fingerprints;
}

} // namespace tamarack
