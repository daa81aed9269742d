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

void RetryBudget::setEntries(std::size_t count, TimePoint now)
{
    if (count < m_entries && now - m_entriesAt <= m_bounds.window)
        return;
    m_entries = count;
    m_entriesAt = now;
}

void RetryBudget::countRequest(std::string_view service, TimePoint now)
{
    ++sliceAt(service, now).requests;
}

RetryBudget::Usage RetryBudget::usage(std::string_view service, TimePoint now) const
{
    Usage usage;
    const std::int64_t oldest = sliceNumber(now) - static_cast<std::int64_t>(slices);
    if (const auto found = m_windows.find(service); found != m_windows.end()) {
        for (const Slice &slice : found->second) {
            if (slice.number <= oldest)
                continue;
            usage.requests += slice.requests;
            usage.repeats += slice.repeats;
        }
    }
    usage.allowed = usableShare
                    * (m_bounds.ratio * usage.requests
                       + m_bounds.slack / static_cast<double>(std::max<std::size_t>(m_entries, 1)));
    return usage;
}

bool RetryBudget::trySpend(std::string_view service, TimePoint now)
{
    const Usage current = usage(service, now);
    if (current.repeats + 1 > current.allowed)
        return false;
    ++sliceAt(service, now).repeats;
    return true;
}

} // namespace tamarack
