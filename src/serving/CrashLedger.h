#pragma once

#include "base/Time.h"
#include "serving/UpstreamTable.h"

#include <cstdint>
#include <map>
#include <vector>

namespace tamarack {

/// Identity of a request by content: workspace, path and body.
using RequestFingerprint = std::uint64_t;

/// Records that a request was running at an upstream incarnation when that incarnation crashed.
struct CrashRow
{
    RequestFingerprint fingerprint = 0;
    UpstreamKey upstream = 0;

    auto operator<=>(const CrashRow &) const = default;
};

/// A crash row with the age of the crash, as exchanged between entries.
struct ReportedCrash
{
    CrashRow row;
    milliseconds age{0};

    bool operator==(const ReportedCrash &) const = default;
};

/// Identifies requests that crash the upstreams that run them.
///
/// Such a request crashes each upstream that starts it, and its client may retry it at any entry.
/// Entries therefore exchange their rows. Rows are only ever added, so the order in which they
/// arrive does not matter. Rows expire after `retention`, because requests that merely ran next to
/// the culprit must not stay suspect. A row keeps its original age when it is forwarded; otherwise
/// entries would keep refreshing each other's rows and none would expire.
class CrashLedger
{
public:
    /// Adds a row; returns false if it was already known.
    bool add(CrashRow row, TimePoint now);
    /// Merges a row reported by another entry.
    void merge(const ReportedCrash &reported, TimePoint now);
    bool isQuarantined(RequestFingerprint fingerprint, TimePoint now) const;
    /// Whether any request may be quarantined. If not, callers need not compute fingerprints.
    bool quarantinesAny() const { return m_quarantinesAny; }
    /// The newest rows, newest first, at most `most` of them.
    std::vector<ReportedCrash> rows(std::size_t most, TimePoint now) const;
    void removeExpired(TimePoint now);

    /// Number of crashes after which a request is refused.
    static constexpr std::size_t crashesToQuarantine = 3;
    static constexpr std::chrono::seconds retention{120};

private:
    void updateQuarantines();

    std::map<CrashRow, TimePoint> m_rows;
    bool m_quarantinesAny = false;
};

} // namespace tamarack
