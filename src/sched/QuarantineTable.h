#pragma once

#include "peer/Messages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

enum class FingerprintState : std::uint8_t { Free, Suspect, Quarantined };

/// Fingerprints under suspicion. Rows only accumulate, so tables merge in any order:
/// a fingerprint is suspect with one crash that is not cleared and quarantined with two.
class QuarantineTable
{
public:
    /// Adds rows and returns those that were new, for forwarding.
    std::vector<FingerprintReport> merge(const std::vector<FingerprintReport> &reports);

    FingerprintState state(Fingerprint fingerprint) const;

    /// Rows that clear the fingerprint of every crash known so far.
    std::vector<FingerprintReport> clearing(Fingerprint fingerprint) const;

    /// Rows that clear everything that shares a crash with `culprit`, but for itself.
    std::vector<FingerprintReport> clearingOthers(Fingerprint culprit) const;

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
