#include "fleet/VersionHistory.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace tamarack {

void VersionHistory::applyRecord(const std::optional<VersionRecord> &record, std::uint64_t era,
                                 TimePoint now)
{
    m_isRead = true;
    m_record = record;
    if (!m_record)
        return;
    for (const ServiceVersion &version : m_record->versions)
        if (!m_listed.contains(version))
            m_unlistedSince.try_emplace(version, now);
    if (!m_record->isPastUnknown)
        m_pastUnknownSince.reset();
    else if (!m_pastUnknownSince)
        m_pastUnknownSince = now;
    m_knowsPast = m_knowsPast || (m_record->era == era && !m_record->isPastUnknown);
}

void VersionHistory::confirmList(TimePoint now)
{
    if (m_listedAt && now - *m_listedAt > longestGap) {
        m_knowsPast = false;
        for (TimePoint &since : m_unlistedSince | std::views::values)
            since = now;
        if (m_pastUnknownSince)
            m_pastUnknownSince = now;
    }
    m_listedAt = now;
}

void VersionHistory::recordListed(std::set<ServiceVersion> listed, TimePoint now)
{
    confirmList(now);
    for (const ServiceVersion &former : m_listed)
        m_unlistedSince.try_emplace(former, now);
    m_listed = std::move(listed);
    std::erase_if(m_unlistedSince, [&](const auto &item) {
        const bool isRecorded = m_record && m_record->versions.contains(item.first);
        return m_listed.contains(item.first) || (!isRecorded && now - item.second >= retention);
    });
}

void VersionHistory::recordSeen(const ServiceVersion &version, TimePoint now)
{
    if (!m_listed.contains(version))
        m_unlistedSince.insert_or_assign(version, now);
}

void VersionHistory::recordMove(const std::string &from, const std::string &to, TimePoint now)
{
    for (const auto &[service, version] : known())
        if (service == from)
            recordSeen({to, version}, now);
}

std::set<ServiceVersion> VersionHistory::known() const
{
    std::set<ServiceVersion> versions = m_listed;
    std::ranges::copy(m_unlistedSince | std::views::keys, std::inserter(versions, versions.end()));
    return versions;
}

std::optional<VersionRecord> VersionHistory::extended(std::uint64_t era) const
{
    if (!m_isRead)
        return std::nullopt;
    const std::set<ServiceVersion> versions = known();
    const bool isConfirmed = m_record && m_record->era == era;
    if (isConfirmed && std::ranges::includes(m_record->versions, versions))
        return std::nullopt;
    VersionRecord record{era, !m_knowsPast, versions};
    if (m_record) {
        record.versions.insert(m_record->versions.begin(), m_record->versions.end());
        record.isPastUnknown = m_record->isPastUnknown || (!isConfirmed && !m_knowsPast);
    }
    return record;
}

std::optional<VersionRecord> VersionHistory::trimmed(TimePoint now) const
{
    if (!m_record)
        return std::nullopt;
    VersionRecord record = *m_record;
    std::erase_if(record.versions, [&](const ServiceVersion &version) {
        const auto since = m_unlistedSince.find(version);
        return since != m_unlistedSince.end() && now - since->second >= retention;
    });
    if (m_pastUnknownSince && now - *m_pastUnknownSince >= retention)
        record.isPastUnknown = false;
    return record == *m_record ? std::nullopt : std::optional(std::move(record));
}

SoleVersions VersionHistory::soleVersions(std::uint64_t era) const
{
    if (!m_record || m_record->isPastUnknown || m_record->era != era)
        return {};
    std::set<ServiceVersion> versions = known();
    versions.insert(m_record->versions.begin(), m_record->versions.end());
    SoleVersions sole;
    std::set<std::string> services;
    for (const auto &[service, version] : versions) {
        if (services.insert(service).second)
            sole.emplace(service, version);
        else
            sole.erase(service);
    }
    return sole;
}

} // namespace tamarack
