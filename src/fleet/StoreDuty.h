#pragma once

#include "base/Time.h"
#include "serving/FreshnessGuard.h"

#include <cstdint>
#include <optional>

namespace tamarack {

/// Decides whether this entry watches the store by itself or relies on the followers of its data
/// centre, and when what they say calls for a look at the store.
///
/// Load: a fleet whose calls of the store must not grow with it; followers that die, are paused,
/// cut off, or lose the store, in which case every entry goes to the store itself.
class StoreDuty
{
public:
    void setElected(bool elected) { m_elected = elected; }
    /// A follower's proof says that the own configuration was the newest at this time.
    void learnProof(BootTime provedAt);
    /// Another entry knows this version of the configuration.
    void noticeConfig(std::uint64_t version);
    /// A follower has seen upstreams change up to `revision` of the store; they are known here up
    /// to `position`.
    void noticeUpstreams(std::uint64_t revision, std::uint64_t position, TimePoint now);

    /// The store was asked and holds this version, whatever others claim.
    void configRead(std::uint64_t version) { m_configVersion = version; }

    bool isElected() const { return m_elected; }
    bool watchesStore(BootTime now) const;
    bool isConfigBehind(std::uint64_t version) const { return m_configVersion > version; }
    /// Whether the followers should have told by now what changed after `position`.
    bool areUpstreamsBehind(std::uint64_t position, TimePoint now) const;

    /// Once the followers' newest proof is older than this, an entry watches the store itself: in
    /// time for a call of its own before its view counts as old.
    static constexpr milliseconds oldestProof{2000};
    /// Time that followers have to tell a change.
    static constexpr milliseconds tellBound{700};

private:
    bool m_elected = true;
    std::optional<BootTime> m_provedAt;
    std::uint64_t m_configVersion = 0;
    std::uint64_t m_upstreamRevision = 0;
    TimePoint m_behindSince{};
};

} // namespace tamarack
