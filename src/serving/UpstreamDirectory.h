#pragma once

#include "base/Time.h"
#include "serving/UpstreamRecord.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace tamarack {

/// The upstreams listed in the store, including those that are only temporarily missing.
///
/// While the store is unavailable, the store entries of live upstreams expire; they are registered
/// again soon after it recovers, so they stay usable until then. An entry that disappears while the
/// store is available, to this entry or to others, means that its upstream has left.
class UpstreamDirectory
{
public:
    /// Records that the store answered this or another entry at `at`.
    void storeAnswered(TimePoint at);
    /// Records that the store did not answer a call of this entry. Without such a call, a time
    /// without answers is no outage: an entry that relies on others may ask nothing for seconds.
    void storeFailed(TimePoint at);

    /// Records that the store was restored from an older copy. It may lack the entries of live
    /// upstreams until they are registered again.
    void storeRestored(TimePoint at);

    bool knows(const std::string &id) const { return m_entries.contains(id); }
    void put(UpstreamRecord record);
    void remove(const std::string &id, TimePoint now);
    /// Ids of the upstreams that are not among the records.
    std::vector<std::string> missingFrom(std::span<const UpstreamRecord> records) const;
    /// Replaces all entries by a complete listing.
    void replace(std::vector<UpstreamRecord> records, TimePoint now);

    /// Returns the usable upstreams; drops those whose grace period has expired.
    std::vector<UpstreamRecord> usable(TimePoint now);
    /// When the next grace period expires.
    std::optional<TimePoint> nextExpiry() const;

    /// Grace period after an outage, within which live upstreams have registered again.
    static constexpr milliseconds recoveryGrace{2200};
    /// Shortest outage in which entries expire: upstreams write a heartbeat every 1.2 s, and an
    /// entry expires after three that are missing, the first of which may be due at once.
    static constexpr milliseconds shortestOutage{2400};

private:
    struct Entry
    {
        UpstreamRecord record;
        /// Set while missing from the store: when the entry is dropped.
        std::optional<TimePoint> dropAt;
    };

    /// Whether an outage has lasted until `at`.
    bool isStoreOut(TimePoint at) const;
    bool recovering(TimePoint now) const;

    std::map<std::string, Entry> m_entries;
    std::optional<TimePoint> m_answeredAt;
    std::optional<TimePoint> m_failedAt;
    std::optional<TimePoint> m_returnedAt;
};

} // namespace tamarack
