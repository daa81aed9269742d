#pragma once

#include "base/Time.h"
#include "serving/UpstreamTable.h"

#include <cstdint>
#include <map>
#include <vector>

namespace tamarack {

/// Identity of a request by content: workspace, path and body.
using RequestFingerprint = std::uint64_t;

/// A request was running at an upstream incarnation when that crashed.
struct CrashRow
{
    RequestFingerprint fingerprint = 0;
    UpstreamKey upstream = 0;

    auto operator<=>(const CrashRow &) const = default;
};

/// A row and how long ago its crash was, for another entry.
struct ToldCrash
{
    CrashRow row;
    milliseconds age{0};

    bool operator==(const ToldCrash &) const = default;
};

/// Recognises requests that crash the upstreams that run them.
///
/// Load: one request crashes each upstream that begins to run it, and its client sends it again
/// at any entry. Entries tell one another their rows; rows only accumulate, so their order does
/// not matter. Rows are forgotten after a while: neighbours of a crash are no culprits for ever. A
/// row keeps its age when it is told on; otherwise entries would remind one another for ever.
class CrashLedger
{
public:
    /// Adds a row; false when it was known.
    bool add(CrashRow row, TimePoint now);
    /// Takes a row that another entry told.
    void learn(const ToldCrash &told, TimePoint now);
    bool isQuarantined(RequestFingerprint fingerprint, TimePoint now) const;
    /// Whether any request may be quarantined: fingerprints need not be worked out otherwise.
    bool quarantinesAny() const { return m_quarantinesAny; }
    /// Rows that are still held, newest first, at most `most`.
    std::vector<ToldCrash> rows(std::size_t most, TimePoint now) const;
    void forgetOld(TimePoint now);

    /// Crashes after which a request is refused.
    static constexpr std::size_t crashesToQuarantine = 3;
    static constexpr std::chrono::seconds retention{120};

private:
    void updateQuarantines();

    std::map<CrashRow, TimePoint> m_rows;
    bool m_quarantinesAny = false;
};

} // namespace tamarack
