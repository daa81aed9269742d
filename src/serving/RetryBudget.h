#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace tamarack {

/// Limits on retries over all entries together, from the settings.
struct RetryBounds
{
    /// Allowed retries per request of the window.
    double ratio = 0.2;
    std::chrono::seconds window{10};
    /// Additional retries allowed per window, shared by all entries.
    double slack = 0;
};

/// Retry budget of each service. Every entry uses only its share.
///
/// The budget prevents retries from doubling the load when upstreams fail or refuse many requests
/// at once. It is a token bucket that starts empty: whatever a former process of this entry has
/// spent, tokens received and tokens kept stay within the budget of any window.
class RetryBudget
{
public:
    RetryBudget(RetryBounds bounds, TimePoint startedAt)
        : m_bounds(bounds)
        , m_startedAt(startedAt)
    {}

    /// Sets the number of entries that may be serving; before, there is no share of the slack. A
    /// lower number takes effect after a window, since the retries of an entry that has left still
    /// count until then.
    void setEntries(std::size_t count, TimePoint now);
    void countRequest(std::string_view service, TimePoint now);
    /// Reserves a token for a retry if the budget allows it. The retry may wait; it counts when it
    /// is sent.
    bool tryReserve(std::string_view service, TimePoint now);
    /// Spends the reserved token of a retry that is being sent.
    void spend(std::string_view service, TimePoint now);
    /// Returns the reserved token of a retry that will not be sent.
    void release(std::string_view service);

    /// Retries that the service's budget allows at once, those reserved, and the service's requests
    /// of about one window.
    struct Usage
    {
        double tokens = 0;
        std::uint32_t reserved = 0;
        double requests = 0;
    };
    Usage usage(std::string_view service) const;
    std::size_t entries() const { return m_entries; }

private:
    struct Bucket
    {
        /// Including those reserved.
        double tokens = 0;
        std::uint32_t reserved = 0;
        /// Requests, each of which decays exponentially over the window.
        double requests = 0;
        TimePoint updatedAt{};
    };

    /// Returns the bucket with the tokens received until now.
    Bucket &bucketAt(std::string_view service, TimePoint now);
    void addTokens(Bucket &bucket, double tokens) const;
    double slackShare() const;

    RetryBounds m_bounds;
    TimePoint m_startedAt;
    std::size_t m_entries = 0;
    /// When `m_entries` was last reported.
    TimePoint m_entriesAt{};
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace tamarack
