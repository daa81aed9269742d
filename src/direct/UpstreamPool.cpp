#include "direct/UpstreamPool.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Assumed keep-alive time of an upstream that does not state one.
constexpr milliseconds defaultKeepAlive{4000};
/// A connection is closed this long before the upstream would close it, so that no request is sent
/// while the upstream is closing.
constexpr milliseconds keepAliveMargin{800};
constexpr std::size_t maxIdlePerUpstream = 16;

} // namespace

UpstreamPool::Taken UpstreamPool::take(UpstreamKey upstream, TimePoint now)
{
    Taken taken;
    const auto found = m_idle.find(upstream);
    if (found == m_idle.end())
        return taken;
    Connections &connections = found->second;
    while (!connections.empty() && !taken.connection) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (now >= connection->idleUntil)
            continue;
        if (connection->stale())
            taken.foundClosed = true;
        else
            taken.connection = std::move(connection);
    }
    return taken;
}

void UpstreamPool::put(UpstreamKey upstream, std::shared_ptr<UpstreamConnection> connection,
                       std::optional<milliseconds> keepAlive, TimePoint now)
{
    const Duration idle = keepAlive.value_or(defaultKeepAlive) - keepAliveMargin;
    Connections &connections = m_idle[upstream];
    if (idle <= Duration::zero() || connections.size() >= maxIdlePerUpstream)
        return;
    connection->idleUntil = now + idle;
    connections.push_back(std::move(connection));
}

void UpstreamPool::drop(UpstreamKey upstream)
{
    m_idle.erase(upstream);
}

void UpstreamPool::dropExpired(TimePoint now)
{
    for (auto &[key, connections] : m_idle)
        std::erase_if(connections, [now](const auto &each) { return now >= each->idleUntil; });
    std::erase_if(m_idle, [](const auto &item) { return item.second.empty(); });
}

} // namespace tamarack
