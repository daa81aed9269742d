#pragma once

#include "base/Time.h"
#include "serving/StreamOrigin.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace tamarack {

/// What began the streams of the last while.
///
/// Upstreams of several software versions serve side by side, and a stream may go on only at the
/// version that began it. Clients take up streams that broke off, at any entry. Sized for the
/// streams of one entry and those that other entries report to it: 28 streams per second and entry
/// at the target size.
class StreamOrigins
{
public:
    /// Records the origin. A stream that is recorded with two versions becomes ambiguous.
    void record(const StreamOrigin &origin, TimePoint now);
    std::optional<StreamOrigin> find(StreamKey stream, TimePoint now) const;
    std::size_t size() const { return m_rows.size(); }

    /// Clients take a stream up within its deadline, which is shorter.
    static constexpr std::chrono::seconds retention{90};
    static constexpr std::size_t maxRows = 20'000;

private:
    struct Row
    {
        StreamOrigin origin;
        TimePoint recordedAt{};
    };

    void evict(TimePoint now);

    std::unordered_map<StreamKey, Row> m_rows;
    /// Rows in the order in which they were recorded first.
    std::deque<std::pair<TimePoint, StreamKey>> m_order;
};

} // namespace tamarack
