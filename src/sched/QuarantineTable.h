#pragma once

#include "peer/Messages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

enum class FingerprintState : std::uint8_t { Free, Suspect, Quarantined };

/// Request fingerprints associated with upstream crashes. A fingerprint is suspect with one
/// uncleared crash and quarantined with two or more. Rows are only ever added, so tables can be
/// merged in any order with the same result.
class QuarantineTable
{
public:
    /// Adds rows and returns those that were new, which the caller forwards to its peers.
    std::vector<FingerprintReport> merge(const std::vector<FingerprintReport> &reports);

    FingerprintState state(Fingerprint fingerprint) const;

    /// Returns the rows that clear the fingerprint of every crash known so far.
    std::vector<FingerprintReport> clearingReports(Fingerprint fingerprint) const;

    /// Returns the rows that clear all other fingerprints of the crashes associated with `culprit`.
    std::vector<FingerprintReport> clearingReportsForOthers(Fingerprint culprit) const;

    std::vector<FingerprintReport> rows() const;
    std::vector<Fingerprint> inState(FingerprintState state) const;

private:
    struct Crashes
    {
        std::set<std::uint64_t> suspected;
        std::set<std::uint64_t> cleared;
    };

    std::map<Fingerprint, Crashes> m_crashes;
};

} // namespace tamarack
