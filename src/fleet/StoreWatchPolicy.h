#pragma once

#include "base/StorePosition.h"
#include "base/Time.h"
#include "serving/FreshnessGuard.h"

#include <cstdint>
#include <optional>

namespace tamarack {

/// Decides whether this entry watches the store itself or relies on the followers of its data
/// centre, and when their reports require a read from the store.
///
/// The number of store calls must not grow with the fleet. When followers crash, are paused, are
/// partitioned or lose the store, every entry falls back to watching the store itself.
class StoreWatchPolicy
{
public:
    void setElected(bool elected) { m_elected = elected; }
    /// A follower's proof shows that this entry's configuration was the newest at this time.
    void applyProof(BootTime provedAt);
    /// Another entry reported this configuration version.
    void recordReportedConfig(std::uint64_t version);
    /// A follower reported upstream changes up to the store's position `reported`; this entry knows
    /// them up to `position`.
    void recordReportedUpstreams(StorePosition reported, StorePosition position, TimePoint now);

    /// The store was read and holds this version; overrides versions reported by others.
    void configRead(std::uint64_t version) { m_configVersion = version; }

    bool isElected() const { return m_elected; }
    bool watchesStore(BootTime now) const;
    bool isConfigBehind(std::uint64_t version) const { return m_configVersion > version; }
    /// Whether another entry has reported a newer configuration, whatever the store holds.
    bool isNewerConfigReported(std::uint64_t version) const { return m_reportedConfig > version; }
    /// Whether the followers are overdue in delivering the changes after `position`.
    bool areUpstreamsBehind(StorePosition position, TimePoint now) const;

    /// An entry watches the store itself once the newest proof from the followers is older than
    /// this. This leaves time for a store call of its own before its configuration counts as stale.
    static constexpr milliseconds maxProofAge{2000};
    /// Time allowed for followers to deliver a change.
    static constexpr milliseconds relayTimeout{700};

private:
    bool m_elected = true;
    std::optional<BootTime> m_provedAt;
    /// Newest version that the store is expected to hold.
    std::uint64_t m_configVersion = 0;
    std::uint64_t m_reportedConfig = 0;
    StorePosition m_reportedUpstreams;
    TimePoint m_behindSince{};
};

} // namespace tamarack
