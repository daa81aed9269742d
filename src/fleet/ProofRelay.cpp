#include "fleet/ProofRelay.h"

namespace tamarack {

std::optional<std::pair<std::string, ProofRequest>>
ProofRelay::nextRequest(const std::vector<std::string> &followers, TimePoint now, BootTime bootTime,
                        StorePosition upstreamPosition)
{
    if (followers.empty() || now < m_nextRequestAt)
        return std::nullopt;
    m_nextRequestAt = now + requestInterval;
    return std::pair(followers[++m_turn % followers.size()],
                     ProofRequest{m_own, bootTime, upstreamPosition});
}

std::optional<ProofResponse> ProofRelay::makeResponse(const ProofRequest &request,
                                                      std::uint64_t configVersion,
                                                      const FreshnessGuard &freshness,
                                                      const UpstreamLog &upstreams,
                                                      BootTime bootTime)
{
    const auto age = freshness.age(bootTime);
    if (!age || *age > maxRelayedProofAge)
        return std::nullopt;
    // The age was rounded down to milliseconds; report an upper bound.
    return ProofResponse{request.requester,
                         request.requestedAt,
                         configVersion,
                         *age + milliseconds(1),
                         upstreams.position().era,
                         upstreams.since(request.upstreamPosition)};
}

std::optional<BootTime> ProofRelay::proofTime(const ProofResponse &response,
                                              std::uint64_t configVersion) const
{
    // Ignore responses to other entries, or to this one before a restart: their request times are
    // from a different clock.
    if (!isRequester(response) || response.configVersion != configVersion)
        return std::nullopt;
    return response.requestedAt - response.age;
}

} // namespace tamarack
