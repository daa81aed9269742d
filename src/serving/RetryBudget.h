#pragma once

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace tamarack {

/// Bounds of repeated sends over all entries, from the settings.
struct RetryBounds
{
    /// Repeats allowed for each request of the window.
    double ratio = 0.2;
    std::chrono::seconds window{10};
    /// Repeats allowed besides, over all entries.
    double slack = 0;
};

/// Budget of sends beyond the first of each request, by service. Every entry spends its share.
///
/// Load: upstreams that fail or refuse many requests at once, which repeats would double.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBounds bounds)
        : m_bounds(bounds)
    {}

    void setEntries(std::size_t count) { m_entries = count; }
    void countRequest(std::string_view service, TimePoint now);
    /// Counts the repeat and returns true if the budget has room for it.
    bool trySpend(std::string_view service, TimePoint now);

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
    std::map<std::string, Window, std::less<>> m_windows;
};

} // namespace tamarack
