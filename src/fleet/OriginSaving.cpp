#include "fleet/OriginSaving.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace tamarack {

void OriginSaving::add(const StreamOrigin &origin, TimePoint now)
{
    m_rows.emplace_back(now, origin);
    if (m_rows.size() > maxRows)
        m_rows.pop_front();
    m_changed = true;
}

void OriginSaving::remove(StreamKey stream)
{
    std::erase_if(m_rows, [stream](const auto &row) { return row.second.stream == stream; });
}

std::vector<StreamOrigin> OriginSaving::takeDue(bool severalVersions, std::size_t entries,
                                                TimePoint now)
{
    const milliseconds interval = severalVersions ? intervalOfSeveral : intervalOfOne;
    const std::size_t factor = 1 + entries / entriesPerInterval;
    if (!m_changed || now - m_savedAt < interval * factor)
        return {};
    m_savedAt = now;
    m_changed = false;
    while (!m_rows.empty() && now - m_rows.front().first >= retention)
        m_rows.pop_front();
    std::vector<StreamOrigin> origins;
    std::ranges::copy(m_rows | std::views::values, std::back_inserter(origins));
    return origins;
}

} // namespace tamarack
