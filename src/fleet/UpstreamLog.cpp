#include "fleet/UpstreamLog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tamarack {

void UpstreamLog::restart(StorePosition position)
{
    m_deltas.clear();
    m_retainedChanges = 0;
    m_floor = position;
    m_position = position;
}

void UpstreamLog::append(UpstreamDelta delta)
{
    m_position = latest(m_position, delta.position);
    if (delta.changes.empty())
        return;
    m_retainedChanges += delta.changes.size();
    m_deltas.push_back(std::move(delta));
    while (m_retainedChanges > maxRetainedChanges) {
        m_floor = m_deltas.front().position;
        m_retainedChanges -= m_deltas.front().changes.size();
        m_deltas.pop_front();
    }
}

std::optional<UpstreamDelta> UpstreamLog::since(StorePosition position) const
{
    const bool reachesBack = m_floor <= position;
    if (!reachesBack)
        return std::nullopt;
    UpstreamDelta result{position, m_position, {}};
    const auto first = std::ranges::find_if(
        m_deltas, [&](const UpstreamDelta &delta) { return position < delta.position; });
    for (auto delta = first; delta != m_deltas.end(); ++delta)
        std::ranges::copy(delta->changes, std::back_inserter(result.changes));
    if (result.changes.size() > maxRelayedChanges)
        return std::nullopt;
    return result;
}

} // namespace tamarack
