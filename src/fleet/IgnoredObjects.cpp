#include "fleet/IgnoredObjects.h"

#include "base/Hash.h"

#include <utility>

namespace tamarack {

bool IgnoredObjects::add(std::string_view name, std::uint64_t revision)
{
    const std::uint64_t hash = fnv1a(name);
    const auto known = m_rows.find(hash);
    if (known == m_rows.end()) {
        if (m_rows.size() < maxObjects)
            m_rows.emplace(hash, Row{revision, m_listing});
        return m_rows.contains(hash);
    }
    known->second.listing = m_listing;
    return std::exchange(known->second.revision, revision) != revision;
}

void IgnoredObjects::remove(std::string_view name)
{
    m_rows.erase(fnv1a(name));
}

void IgnoredObjects::endListing()
{
    std::erase_if(m_rows, [this](const auto &row) { return row.second.listing != m_listing; });
}

} // namespace tamarack
