#pragma once

#include "direct/UpstreamConnection.h"
#include "serving/UpstreamTable.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// Pool of idle connections, keyed by upstream incarnation. Not thread-safe; use on one executor
/// only.
class UpstreamPool
{
public:
    struct Taken
    {
        /// The most recently used idle connection that is still usable; null if there is none.
        std::shared_ptr<UpstreamConnection> connection;
        /// The upstream had closed a connection before its keep-alive time was over.
        bool foundClosed = false;
    };
    /// Removes an idle connection and returns it.
    Taken take(UpstreamKey upstream, TimePoint now);
    /// Adds an idle connection, to be kept for the upstream's keep-alive time less a safety margin.
    void put(UpstreamKey upstream, std::shared_ptr<UpstreamConnection> connection,
             std::optional<milliseconds> keepAlive, TimePoint now);
    /// Closes the idle connections of an upstream that has failed or left.
    void drop(UpstreamKey upstream);
    void dropExpired(TimePoint now);

private:
    using Connections = std::vector<std::shared_ptr<UpstreamConnection>>;

    std::unordered_map<UpstreamKey, Connections> m_idle;
};

} // namespace tamarack
