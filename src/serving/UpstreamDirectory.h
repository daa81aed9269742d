#pragma once

#include "base/Time.h"
#include "serving/UpstreamRecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// The upstreams that the store lists, and what a missing entry means.
///
/// Load: the store is out while entries of live upstreams expire; they are back soon after it
/// returns. An entry that disappears while the store answers means that its upstream leaves.
class UpstreamDirectory
{
public:
    /// A call of the store failed.
    void storeFailed(TimePoint now);
    /// A call of the store succeeded.
    void storeAnswered(TimePoint now);

    bool knows(const std::string &id) const { return m_entries.contains(id); }
    void put(UpstreamRecord record);
    void remove(const std::string &id, TimePoint now);
    /// Replaces everything by a listing.
    void replace(std::vector<UpstreamRecord> records, TimePoint now);

    /// Upstreams in use now; forgets those whose time is over.
    std::vector<UpstreamRecord> usable(TimePoint now);
    /// When `usable` changes next by time alone.
    std::optional<TimePoint> nextExpiry() const;

    /// Entries that expired during an outage are back within this time of its end.
    static constexpr milliseconds returnBound{2200};

private:
    struct Entry
    {
        UpstreamRecord record;
        /// Missing from the store; dropped at this time.
        std::optional<TimePoint> dropAt;
    };

    bool recovering(TimePoint now) const;

    std::map<std::string, Entry> m_entries;
    bool m_storeOut = false;
    std::optional<TimePoint> m_returnedAt;
};

} // namespace tamarack
