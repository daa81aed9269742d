#pragma once

#include "base/Time.h"
#include "serving/StreamOrigin.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tamarack {

/// Decides when an entry writes the origins of its streams to the store, and which.
///
/// All entries may be killed at the same moment; clients then take their streams up at entries
/// that know none of them. In a small fleet, streams are known from some 200 ms of age on. The
/// write rate of the fleet does not grow with the number of entries, so that larger fleets write
/// less often; the less so if unknown streams could not go on, as services have several versions.
class OriginSaving
{
public:
    /// Which of the entry's two objects a write replaces. Most writes are of the small one.
    enum class Scope : std::uint8_t {
        All,
        /// Those that the last successful write of all does not contain.
        Recent,
    };
    struct Write
    {
        Scope scope = Scope::All;
        std::vector<StreamOrigin> origins;
    };

    /// Records a stream that this entry serves, or has served before its restart.
    void add(const StreamOrigin &origin, TimePoint now);
    /// Records that the client has received the whole stream and will not take it up.
    void remove(StreamKey stream);
    /// Makes a write of all origins due, which the store may have lost.
    void saveAgain();
    /// The write to make now; none if none is due or the last one has not ended. `entries`: number
    /// of entries of the fleet.
    std::optional<Write> takeDue(bool severalVersions, std::size_t entries, TimePoint now);
    /// The write taken last has ended. One that failed is due again.
    void recordEnd(bool succeeded);

    /// Clients take streams up within about this time after they began.
    static constexpr std::chrono::seconds retention{16};
    static constexpr std::size_t maxRows = 4000;
    /// Shortest time between two writes, and between two writes of all origins.
    static constexpr milliseconds interval{150};
    static constexpr milliseconds intervalOfAll{2000};
    /// Up to this many entries write at the shortest interval.
    static constexpr std::size_t entriesOfSeveral = 10;
    static constexpr std::size_t entriesOfOne = 4;

private:
    static Duration intervalOf(bool severalVersions, std::size_t entries);

    struct Row
    {
        TimePoint addedAt{};
        std::uint64_t number = 0;
        StreamOrigin origin;
    };

    std::deque<Row> m_rows;
    std::uint64_t m_lastNumber = 0;
    /// The store has the rows up to this number in the object of all origins.
    std::uint64_t m_savedNumber = 0;
    std::optional<Scope> m_writing;
    /// Last number when the write in progress was taken.
    std::uint64_t m_writingNumber = 0;
    TimePoint m_takenAt{};
    TimePoint m_allTakenAt{};
    bool m_changed = false;
};

} // namespace tamarack
