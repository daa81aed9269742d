#include "fleet/UpstreamLog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tamarack {

void UpstreamLog::restart(std::uint64_t revision)
{
    m_deltas.clear();
    m_retainedChanges = 0;
    m_floor = revision;
    m_position = revision;
}

void UpstreamLog::append(UpstreamDelta delta)
{
    m_position = std::max(m_position, delta.revision);
    if (delta.changes.empty())
        return;
    m_retainedChanges += delta.changes.size();
    m_deltas.push_back(std::move(delta));
    while (m_retainedChanges > maxRetainedChanges) {
        m_floor = m_deltas.front().revision;
        m_retainedChanges -= m_deltas.front().changes.size();
        m_deltas.pop_front();
    }
}

std::optional<UpstreamDelta> UpstreamLog::since(std::uint64_t revision) const
{
    if (revision < m_floor)
        return std::nullopt;
    UpstreamDelta result{revision, m_position, {}};
    const auto first = std::ranges::upper_bound(m_deltas, revision, {}, &UpstreamDelta::revision);
    for (auto delta = first; delta != m_deltas.end(); ++delta)
        std::ranges::copy(delta->changes, std::back_inserter(result.changes));
    if (result.changes.size() > maxRelayedChanges)
        return std::nullopt;
    return result;
}

} // namespace tamarack
