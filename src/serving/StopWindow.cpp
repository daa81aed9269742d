#include "serving/StopWindow.h"

#include <algorithm>

namespace tamarack {

namespace {

/// The longest time decays by this share with each shorter one.
constexpr int decayShare = 100;
/// Routes come and go with the configuration.
constexpr std::size_t maxRoutes = 10'000;

} // namespace

void StopWindow::recordServed(const std::string &route, Duration took)
{
    if (m_longest.size() >= maxRoutes && !m_longest.contains(route))
        m_longest.clear();
    Duration &longest = m_longest[route];
    longest = std::max(took, longest - longest / decayShare);
}

TimePoint StopWindow::cap(TimePoint deadline) const
{
    return std::min(deadline, m_end.value_or(deadline));
}

bool StopWindow::admits(std::string_view route, TimePoint deadline, TimePoint now) const
{
    if (!m_end || deadline <= *m_end)
        return true;
    // Without a measurement, the request may take all the time until its deadline.
    const auto longest = m_longest.find(route);
    return longest != m_longest.end() && now + longest->second <= *m_end;
}

} // namespace tamarack
