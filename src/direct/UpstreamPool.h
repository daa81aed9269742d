#pragma once

#include "direct/UpstreamConnection.h"
#include "serving/UpstreamTable.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// Idle connections by upstream incarnation. Used on one executor.
class UpstreamPool
{
public:
    /// The idle connection that was used last and still works; null when there is none.
    std::shared_ptr<UpstreamConnection> take(UpstreamKey upstream, TimePoint now);
    /// Keeps the connection for as long as the upstream said it does.
    void keep(UpstreamKey upstream, std::shared_ptr<UpstreamConnection> connection,
              std::optional<milliseconds> keepAlive, TimePoint now);
    /// Ends the idle connections of an upstream that has crashed or left.
    void drop(UpstreamKey upstream);
    void dropExpired(TimePoint now);

private:
    using Connections = std::vector<std::shared_ptr<UpstreamConnection>>;

    std::unordered_map<UpstreamKey, Connections> m_idle;
};

} // namespace tamarack
