#include "model/ObjectTable.h"

namespace tamarack::standin {

std::optional<std::uint64_t> ObjectTable::put(std::string_view key, std::string_view value,
                                              Condition condition, std::uint64_t version)
{
    const auto found = m_objects.find(key);
    const bool absent = found == m_objects.end();
    if (condition == Condition::Absent && !absent)
        return std::nullopt;
    if (condition == Condition::Version && (absent || found->second.version != version))
        return std::nullopt;
    const std::string name(key);
    m_objects.insert_or_assign(name, Object{name, std::string(value), ++m_lastVersion});
    return m_lastVersion;
}

bool ObjectTable::remove(std::string_view key)
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        return false;
    m_objects.erase(found);
    ++m_lastVersion;
    return true;
}

std::optional<ObjectTable::Object> ObjectTable::find(std::string_view key) const
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        return std::nullopt;
    return found->second;
}

std::vector<ObjectTable::Object> ObjectTable::list(std::string_view prefix, std::string_view after,
                                                   std::size_t limit) const
{
    std::vector<Object> objects;
    auto at = after.empty() ? m_objects.lower_bound(prefix) : m_objects.upper_bound(after);
    for (; at != m_objects.end() && at->first.starts_with(prefix); ++at) {
        if (objects.size() == limit)
            break;
        objects.push_back(at->second);
    }
    return objects;
}

} // namespace tamarack::standin
