#include "fleet/OriginSaving.h"

#include <algorithm>
#include <utility>

namespace tamarack {

void OriginSaving::add(const StreamOrigin &origin, TimePoint now)
{
    m_rows.push_back({now, ++m_lastNumber, origin});
    if (m_rows.size() > maxRows)
        m_rows.pop_front();
    m_changed = true;
}

void OriginSaving::remove(StreamKey stream)
{
    std::erase_if(m_rows, [stream](const Row &row) { return row.origin.stream == stream; });
}

void OriginSaving::saveAgain()
{
    m_changed = m_changed || !m_rows.empty();
    m_savedNumber = 0;
    m_writingNumber = 0;
    m_allTakenAt = {};
}

Duration OriginSaving::intervalOf(bool severalVersions, std::size_t entries)
{
    if (severalVersions)
        return interval * (1 + entries / entriesOfSeveral);
    return std::max<Duration>(interval, interval * entries / entriesOfOne);
}

std::optional<OriginSaving::Write> OriginSaving::takeDue(bool severalVersions, std::size_t entries,
                                                         TimePoint now)
{
    const Duration pause = intervalOf(severalVersions, entries);
    if (m_writing || !m_changed || now - m_takenAt < pause)
        return std::nullopt;
    m_takenAt = now;
    m_changed = false;
    while (!m_rows.empty() && now - m_rows.front().addedAt >= retention)
        m_rows.pop_front();
    Write write;
    if (now - m_allTakenAt < std::max<Duration>(pause, intervalOfAll))
        write.scope = Scope::Recent;
    const std::uint64_t after = write.scope == Scope::All ? 0 : m_savedNumber;
    for (const Row &row : m_rows)
        if (row.number > after)
            write.origins.push_back(row.origin);
    if (write.origins.empty())
        return std::nullopt;
    if (write.scope == Scope::All)
        m_allTakenAt = now;
    m_writing = write.scope;
    m_writingNumber = m_lastNumber;
    return write;
}

void OriginSaving::recordEnd(bool succeeded)
{
    const auto scope = std::exchange(m_writing, std::nullopt);
    if (!succeeded) {
        m_changed = true;
        if (scope == Scope::All)
            m_allTakenAt = {};
        return;
    }
    if (scope == Scope::All)
        m_savedNumber = m_writingNumber;
}

} // namespace tamarack
