#include "serving/UpstreamDirectory.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace tamarack {

void UpstreamDirectory::storeAnswered(TimePoint at)
{
    if (isStoreOut(at))
        m_returnedAt = at;
    m_answeredAt = std::max(m_answeredAt.value_or(at), at);
}

void UpstreamDirectory::storeFailed(TimePoint at)
{
    m_failedAt = at;
}

void UpstreamDirectory::storeRestored(TimePoint at)
{
    m_returnedAt = at;
}

bool UpstreamDirectory::isStoreOut(TimePoint at) const
{
    const bool hasFailed = m_answeredAt && m_failedAt && *m_failedAt > *m_answeredAt;
    return hasFailed && at - *m_answeredAt > shortestOutage;
}

bool UpstreamDirectory::recovering(TimePoint now) const
{
    return isStoreOut(now) || (m_returnedAt && now - *m_returnedAt < recoveryGrace);
}

void UpstreamDirectory::put(UpstreamRecord record)
{
    std::string id = record.id;
    m_entries[std::move(id)] = Entry{std::move(record), std::nullopt};
}

void UpstreamDirectory::remove(const std::string &id, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    if (!recovering(now))
        m_entries.erase(found);
    else if (!found->second.dropAt)
        found->second.dropAt = (isStoreOut(now) ? now : *m_returnedAt) + recoveryGrace;
}

std::vector<std::string>
UpstreamDirectory::missingFrom(std::span<const UpstreamRecord> records) const
{
    std::set<std::string_view> listed;
    for (const UpstreamRecord &record : records)
        listed.insert(record.id);
    std::vector<std::string> missing;
    for (const auto &[id, entry] : m_entries)
        if (!listed.contains(id))
            missing.push_back(id);
    return missing;
}

void UpstreamDirectory::replace(std::vector<UpstreamRecord> records, TimePoint now)
{
    for (const std::string &id : missingFrom(records))
        remove(id, now);
    for (UpstreamRecord &record : records)
        put(std::move(record));
}

std::vector<UpstreamRecord> UpstreamDirectory::usable(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &item) {
        return item.second.dropAt && now >= *item.second.dropAt;
    });
    std::vector<UpstreamRecord> records;
    records.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries)
        records.push_back(entry.record);
    return records;
}

std::optional<TimePoint> UpstreamDirectory::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, entry] : m_entries)
        if (entry.dropAt && (!next || *entry.dropAt < *next))
            next = entry.dropAt;
    return next;
}

} // namespace tamarack
