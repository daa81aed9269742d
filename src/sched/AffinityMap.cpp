#include "sched/AffinityMap.h"

namespace tamarack {

void AffinityMap::record(std::uint64_t prefix, std::string_view upstream)
{
    if (const auto found = m_index.find(prefix); found != m_index.end()) {
        found->second->upstream = upstream;
        m_recent.splice(m_recent.begin(), m_recent, found->second);
        return;
    }
    m_recent.push_front({prefix, std::string(upstream)});
    m_index[prefix] = m_recent.begin();
    if (m_index.size() <= m_capacity)
        return;
    m_index.erase(m_recent.back().prefix);
    m_recent.pop_back();
}

bool AffinityMap::matches(std::uint64_t prefix, std::string_view upstream) const
{
    const auto found = m_index.find(prefix);
    return found != m_index.end() && found->second->upstream == upstream;
}

} // namespace tamarack
