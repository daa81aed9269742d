#include "fleet/StoreWatchPolicy.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Whether changes that led to `reported` may be missing at `position`.
bool lacks(StorePosition position, StorePosition reported)
{
    return position < reported || isOfLaterEra(reported, position);
}

} // namespace

void StoreWatchPolicy::recordReportedConfig(std::uint64_t version)
{
    m_configVersion = std::max(m_configVersion, version);
    m_reportedConfig = std::max(m_reportedConfig, version);
}

void StoreWatchPolicy::recordReportedUpstreams(StorePosition reported, StorePosition position,
                                               TimePoint now)
{
    if (!lacks(position, m_reportedUpstreams))
        m_behindSince = now;
    m_reportedUpstreams = latest(m_reportedUpstreams, reported);
}

void StoreWatchPolicy::applyProof(BootTime provedAt)
{
    m_provedAt = std::max(m_provedAt.value_or(provedAt), provedAt);
}

bool StoreWatchPolicy::areUpstreamsBehind(StorePosition position, TimePoint now) const
{
    return lacks(position, m_reportedUpstreams) && now - m_behindSince > relayTimeout;
}

bool StoreWatchPolicy::watchesStore(BootTime now) const
{
    return m_elected || !m_provedAt || now - *m_provedAt > maxProofAge;
}

} // namespace tamarack
