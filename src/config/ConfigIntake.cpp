#include "config/ConfigIntake.h"

namespace tamarack {

bool ConfigIntake::offerStored(const FleetConfigPtr &config)
{
    if (m_current && config->generation <= m_current->generation)
        return false;
    // Peers may already know a newer one than a read that was started earlier.
    const bool gatheredIsNewer = m_gathered && m_gathered->generation > config->generation;
    m_current = gatheredIsNewer ? m_gathered : config;
    m_gathered = nullptr;
    return true;
}

bool ConfigIntake::offerFromPeer(const FleetConfigPtr &config, TimePoint now)
{
    if (m_current)
        return offerStored(config);
    if (!m_gathered)
        m_gatherUntil = now + gatherTime;
    if (!m_gathered || config->generation > m_gathered->generation)
        m_gathered = config;
    return false;
}

bool ConfigIntake::tick(TimePoint now)
{
    if (m_current || !m_gathered || now < m_gatherUntil)
        return false;
    return offerStored(m_gathered);
}

} // namespace tamarack
