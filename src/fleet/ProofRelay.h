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

/// Requests a follower's freshness proof for the configuration and the latest upstream changes.
struct ProofRequest
{
    Incarnation requester = 0;
    /// Send time, on the requester's boot clock.
    BootTime requestedAt{};
    /// Position in the store up to which the requester knows the upstreams.
    StorePosition upstreamPosition;

    bool operator==(const ProofRequest &) const = default;
};

/// A follower's proof: a store call that started `age` before this response was created returned no
/// configuration newer than `configVersion`.
struct ProofResponse
{
    /// Copied from the request, as is `requestedAt`.
    Incarnation requester = 0;
    BootTime requestedAt{};
    std::uint64_t configVersion = 0;
    milliseconds age{};
    /// Era of the store in which the follower knows the upstreams.
    std::uint64_t era = 0;
    /// Upstream changes after the requested position; none if the follower's log does not cover
    /// them.
    std::optional<UpstreamDelta> upstreams;

    bool operator==(const ProofResponse &) const = default;
};

/// Relays freshness proofs for the configuration from store followers to the other entries.
///
/// A response is created after its request was sent, so the store call behind it started no earlier
/// than the request's send time minus the proof's age. This holds regardless of datagram delays and
/// of pauses or suspensions on either side, because clocks of different hosts are never compared.
///
/// Must stay correct when API keys are revoked while entries are paused, partitioned in one
/// direction, or late in reading datagrams.
class ProofRelay
{
public:
    explicit ProofRelay(Incarnation own)
        : m_own(own)
    {}

    /// Returns the next request and the follower to send it to, in round-robin order. Returns none
    /// before the interval has elapsed or if there are no followers. `followers` must not contain
    /// this entry.
    std::optional<std::pair<std::string, ProofRequest>>
    nextRequest(const std::vector<std::string> &followers, TimePoint now, BootTime bootTime,
                StorePosition upstreamPosition);
    /// Makes the next request due immediately, because another entry reported an update.
    void requestNow() { m_nextRequestAt = {}; }

    /// Creates a follower's response; none while its own proof is too old to relay.
    static std::optional<ProofResponse>
    makeResponse(const ProofRequest &request, std::uint64_t configVersion,
                 const FreshnessGuard &freshness, const UpstreamLog &upstreams, BootTime bootTime);
    bool isRequester(const ProofResponse &response) const { return response.requester == m_own; }

    /// Returns the time, on this entry's boot clock, at which its configuration `configVersion` was
    /// the newest; none if the response proves nothing about that version.
    std::optional<BootTime> proofTime(const ProofResponse &response,
                                      std::uint64_t configVersion) const;

    static constexpr milliseconds requestInterval{400};
    /// A proof older than this is not relayed, because the follower has lost the store.
    static constexpr milliseconds maxRelayedProofAge{2000};

private:
    Incarnation m_own;
    TimePoint m_nextRequestAt{};
    std::size_t m_turn = 0;
};

} // namespace tamarack
