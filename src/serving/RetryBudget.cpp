#include "serving/RetryBudget.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Part of the budget that may be used. The rest is a margin for the retries of entries that are
/// not known yet.
constexpr double usableShare = 0.8;

} // namespace

std::int64_t RetryBudget::sliceNumber(TimePoint now) const
{
    const auto length = std::chrono::duration_cast<Duration>(m_bounds.window) / slices;
    return now.time_since_epoch() / length;
}

RetryBudget::Slice &RetryBudget::sliceAt(std::string_view service, TimePoint now)
{
    auto found = m_windows.find(service);
    if (found == m_windows.end())
        found = m_windows.emplace(std::string(service), Window{}).first;
    const std::int64_t number = sliceNumber(now);
    Slice &slice = found->second[static_cast<std::size_t>(number) % slices];
    if (slice.number != number)
        slice = Slice{number, 0, 0};
    return slice;
}

void RetryBudget::countRequest(std::string_view service, TimePoint now)
{
    ++sliceAt(service, now).requests;
}

bool RetryBudget::trySpend(std::string_view service, TimePoint now)
{
    Slice &current = sliceAt(service, now);
    const std::int64_t oldest = current.number - static_cast<std::int64_t>(slices);
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
    for (const Slice &slice : m_windows.find(service)->second) {
        if (slice.number <= oldest)
            continue;
        requests += slice.requests;
        repeats += slice.repeats;
    }
    const double allowed =
        m_bounds.ratio * requests
        + m_bounds.slack / static_cast<double>(std::max<std::size_t>(m_entries, 1));
    if (repeats + 1 > usableShare * allowed)
        return false;
    ++current.repeats;
    return true;
}

} // namespace tamarack
