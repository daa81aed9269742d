#pragma once

#include "base/Time.h"

#include <array>
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
/// at once.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBounds bounds)
        : m_bounds(bounds)
    {}

    /// Sets the number of entries that may be serving. A lower number takes effect after a window,
    /// since the retries of an entry that has left still count until then.
    void setEntries(std::size_t count, TimePoint now);
    void countRequest(std::string_view service, TimePoint now);
    /// Counts the retry and returns true if the budget allows it.
    bool trySpend(std::string_view service, TimePoint now);

    /// Counts within the window, and the number of retries that they allow.
    struct Usage
    {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
        double allowed = 0;
    };
    Usage usage(std::string_view service, TimePoint now) const;
    std::size_t entries() const { return m_entries; }

private:
    static constexpr std::size_t slices = 10;
    struct Slice
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    using Window = std::array<Slice, slices>;

    Slice &sliceAt(std::string_view service, TimePoint now);
    std::int64_t sliceNumber(TimePoint now) const;

    RetryBounds m_bounds;
    std::size_t m_entries = 1;
    /// When `m_entries` was last reported.
    TimePoint m_entriesAt{};
    std::map<std::string, Window, std::less<>> m_windows;
};

} // namespace tamarack
