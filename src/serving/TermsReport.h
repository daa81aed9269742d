#pragma once

#include "base/Time.h"
#include "serving/UpstreamKey.h"

#include <cstdint>
#include <optional>

namespace tamarack {

/// The last limit that an upstream stated, as the entry that received it reports it to the others.
struct LimitReport
{
    /// None: the upstream no longer states a limit.
    std::optional<double> perSecond;
    /// Bounds of the age of the statement: the time since the request was sent and the time since
    /// its response was read.
    milliseconds sentAge{};
    milliseconds readAge{};

    bool operator==(const LimitReport &) const = default;
};

/// What one entry reports to the others about an upstream that states a limit or is leaving.
struct TermsReport
{
    UpstreamKey upstream = 0;
    /// Set only if the reporter received the statement itself and knows of no newer one.
    std::optional<LimitReport> limit;
    /// The upstream has stated that it is leaving.
    bool leaving = false;
    /// Requests that the reporter sent to the upstream within `UpstreamTerms::window`.
    std::uint32_t recentSends = 0;

    bool operator==(const TermsReport &) const = default;
};

/// A report as seen by the entry that received it.
struct ReceivedTerms
{
    TermsReport terms;
    /// Incarnation of the reporter.
    std::uint64_t reporter = 0;
    /// When the report arrived.
    TimePoint receivedAt{};
};

} // namespace tamarack
