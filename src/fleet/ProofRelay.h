#pragma once

#include "base/RequestId.h"
#include "base/Time.h"
#include "fleet/UpstreamLog.h"
#include "serving/FreshnessGuard.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// Asks a follower of the store for its proof of the configuration and for changes of upstreams.
struct StoreAsk
{
    Incarnation asker = 0;
    /// On the asker's boot clock.
    BootTime askedAt{};
    /// Up to which the asker knows the upstreams.
    std::uint64_t upstreamRevision = 0;

    bool operator==(const StoreAsk &) const = default;
};

/// A follower's proof: a call of the store that began `age` before the answer was made showed no
/// configuration newer than `configVersion`.
struct StoreAnswer
{
    /// As in the ask.
    Incarnation asker = 0;
    BootTime askedAt{};
    std::uint64_t configVersion = 0;
    milliseconds age{};
    /// What changed after the ask's revision; none when the follower cannot tell.
    std::optional<UpstreamDelta> upstreams;

    bool operator==(const StoreAnswer &) const = default;
};

/// Passes proofs of the configuration from the followers of the store to the other entries.
///
/// An answer is made after its ask was sent, so the call behind it began no earlier than the ask
/// less the proof's age. That holds whatever time the datagrams take and whoever was paused or
/// suspended meanwhile; no two clocks are compared.
///
/// Load: keys are taken away while entries are paused, cut off one way, or read datagrams late.
class ProofRelay
{
public:
    explicit ProofRelay(Incarnation own)
        : m_own(own)
    {}

    /// The next ask and the follower to send it to, in turn; none before the interval is over or
    /// without followers. `followers`: without this entry.
    std::optional<std::pair<std::string, StoreAsk>> ask(const std::vector<std::string> &followers,
                                                        TimePoint now, BootTime bootTime,
                                                        std::uint64_t upstreamRevision);
    /// News were told: the next ask is due now.
    void askNow() { m_nextAsk = {}; }

    /// A follower's answer; none while its own proof is too old to pass on.
    static std::optional<StoreAnswer> answer(const StoreAsk &ask, std::uint64_t configVersion,
                                             const FreshnessGuard &freshness,
                                             const UpstreamLog &upstreams, BootTime bootTime);
    bool isAsker(const StoreAnswer &answer) const { return answer.asker == m_own; }

    /// When the own configuration, of version `configVersion`, was the newest, on the own boot
    /// clock; none when the answer says nothing of it.
    std::optional<BootTime> learn(const StoreAnswer &answer, std::uint64_t configVersion) const;

    static constexpr milliseconds askInterval{400};
    /// An older proof is not passed on: the follower has lost the store.
    static constexpr milliseconds oldestRelayed{2000};

private:
    Incarnation m_own;
    TimePoint m_nextAsk{};
    std::size_t m_turn = 0;
};

} // namespace tamarack
