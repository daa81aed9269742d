#pragma once

#include "base/Time.h"
#include "serving/StreamOrigin.h"

#include <cstddef>
#include <deque>
#include <span>
#include <utility>
#include <vector>

namespace tamarack {

/// Decides when an entry writes the origins of its streams to the store, and which.
///
/// All entries may be killed at the same moment; clients then take their streams up at entries
/// that know none of them. The write rate of the fleet does not grow with the number of entries.
/// While the upstreams of all services have one version each, few streams are lost by writing
/// less often.
class OriginSaving
{
public:
    /// Records a stream that this entry serves, or has served before its restart.
    void add(const StreamOrigin &origin, TimePoint now);
    /// Records that the client has received the whole stream and will not take it up.
    void remove(StreamKey stream);
    /// Makes the next write due even without a new origin.
    void saveAgain() { m_changed = m_changed || !m_rows.empty(); }
    /// Origins to write now; empty if no write is due. `entries`: number of entries of the fleet.
    std::vector<StreamOrigin> takeDue(bool severalVersions, std::size_t entries, TimePoint now);

    /// Clients take streams up within about this time after they began.
    static constexpr std::chrono::seconds retention{16};
    static constexpr std::size_t maxRows = 4000;
    static constexpr milliseconds intervalOfSeveral{150};
    static constexpr milliseconds intervalOfOne{2000};
    /// Up to this many entries write at the intervals above.
    static constexpr std::size_t entriesPerInterval = 10;

private:
    std::deque<std::pair<TimePoint, StreamOrigin>> m_rows;
    TimePoint m_savedAt{};
    bool m_changed = false;
};

} // namespace tamarack
