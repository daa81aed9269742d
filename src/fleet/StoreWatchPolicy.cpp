#include "fleet/StoreWatchPolicy.h"

#include <algorithm>

namespace tamarack {

void StoreWatchPolicy::recordReportedConfig(std::uint64_t version)
{
    m_configVersion = std::max(m_configVersion, version);
}

void StoreWatchPolicy::recordReportedUpstreams(std::uint64_t revision, std::uint64_t position,
                                               TimePoint now)
{
    if (position >= m_upstreamRevision)
        m_behindSince = now;
    m_upstreamRevision = std::max(m_upstreamRevision, revision);
}

void StoreWatchPolicy::applyProof(BootTime provedAt)
{
    m_provedAt = std::max(m_provedAt.value_or(provedAt), provedAt);
}

bool StoreWatchPolicy::areUpstreamsBehind(std::uint64_t position, TimePoint now) const
{
    return m_upstreamRevision > position && now - m_behindSince > relayTimeout;
}

bool StoreWatchPolicy::watchesStore(BootTime now) const
{
    return m_elected || !m_provedAt || now - *m_provedAt > maxProofAge;
}

} // namespace tamarack
