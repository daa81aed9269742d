#pragma once

#include "base/Time.h"
#include "serving/UpstreamKey.h"

#include <cstdint>
#include <optional>

namespace tamarack {

/// What an upstream said last of its limit, as the entry that heard it tells the others.
struct ToldLimit
{
    /// None: it named no limit any more.
    std::optional<double> perSecond;
    /// It was said at some time between these: since the request was sent, and since its answer was
    /// read.
    milliseconds sentAge{};
    milliseconds readAge{};

    bool operator==(const ToldLimit &) const = default;
};

/// What one entry tells the others of an upstream that limits itself or leaves.
struct ToldTerms
{
    UpstreamKey upstream = 0;
    /// Only what the upstream said to the teller itself, while nothing newer is known to it.
    std::optional<ToldLimit> limit;
    /// The upstream has said that it leaves.
    bool leaving = false;
    /// Requests that the teller sent there within the window of limits.
    std::uint32_t recentSends = 0;

    bool operator==(const ToldTerms &) const = default;
};

/// The same at the entry that is told.
struct HeardTerms
{
    ToldTerms terms;
    /// Names the teller's incarnation.
    std::uint64_t teller = 0;
    /// When the teller's message came.
    TimePoint toldAt{};
};

} // namespace tamarack
