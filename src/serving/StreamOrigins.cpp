#include "serving/StreamOrigins.h"

namespace tamarack {

void StreamOrigins::record(const StreamOrigin &origin, TimePoint now)
{
    evict(now);
    const auto [row, isNew] = m_rows.try_emplace(origin.stream, Row{origin, now});
    if (isNew) {
        m_order.emplace_back(now, origin.stream);
        return;
    }
    StreamOrigin &known = row->second.origin;
    known.ambiguous = known.ambiguous || origin.ambiguous || origin.version != known.version;
}

std::optional<StreamOrigin> StreamOrigins::find(StreamKey stream, TimePoint now) const
{
    const auto row = m_rows.find(stream);
    if (row == m_rows.end() || now - row->second.recordedAt >= retention)
        return std::nullopt;
    return row->second.origin;
}

void StreamOrigins::evict(TimePoint now)
{
    while (!m_order.empty()
           && (now - m_order.front().first >= retention || m_order.size() >= maxRows)) {
        m_rows.erase(m_order.front().second);
        m_order.pop_front();
    }
}

} // namespace tamarack
