#pragma once

#include "base/ConnectionBudget.h"
#include "http/HttpMessage.h"
#include "http/ListenerGuards.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace tamarack {

/// A connection as its server sees it.
class ServerConnection
{
public:
    virtual ~ServerConnection() = default;
    /// Ends the connection if it waits for a request. Thread-safe.
    virtual void closeIfIdle() = 0;
};

/// What the connections of a server share. Thread-safe.
class ConnectionRegistry
{
public:
    ConnectionRegistry(const HttpLimits &limits, ListenerGuards guards)
        : m_limits(std::make_shared<const HttpLimits>(limits))
        , m_guards(std::move(guards))
    {}

    /// Null if the connections of the listener are not bounded together with others.
    ConnectionBudget *budget() const { return m_guards.budget.get(); }
    /// Empty if every body is needed.
    const BodyFilter &bodyFilter() const { return m_guards.needsBody; }

    std::shared_ptr<const HttpLimits> limits() const { return m_limits.load(); }
    void setLimits(const HttpLimits &limits)
    {
        m_limits = std::make_shared<const HttpLimits>(limits);
    }

    bool closing() const { return m_closing; }
    void setClosing() { m_closing = true; }

    void add(const std::shared_ptr<ServerConnection> &connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connections[connection.get()] = connection;
    }
    void remove(ServerConnection *connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
    }
    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size();
    }
    std::vector<std::shared_ptr<ServerConnection>> all() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::shared_ptr<ServerConnection>> connections;
        for (const auto &[key, weak] : m_connections)
            if (auto connection = weak.lock())
                connections.push_back(std::move(connection));
        return connections;
    }

private:
    std::atomic<std::shared_ptr<const HttpLimits>> m_limits;
    const ListenerGuards m_guards;
    std::atomic<bool> m_closing{false};
    mutable std::mutex m_mutex;
    std::map<ServerConnection *, std::weak_ptr<ServerConnection>> m_connections;
};

} // namespace tamarack
