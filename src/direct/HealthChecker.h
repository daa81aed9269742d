#pragma once

#include "base/Metrics.h"
#include "serving/ServingConfig.h"
#include "serving/UpstreamTable.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace tamarack {

/// Requests the health checks of upstreams whose state is in doubt. Not thread-safe; use on one
/// executor only.
class HealthChecker
{
public:
    using StateCallback = std::function<void(UpstreamState &)>;

    HealthChecker(const boost::asio::any_io_executor &executor, Metrics &metrics);

    /// Starts a check unless the last one was less than `interval` ago. Calls `onServing` if the
    /// upstream responds that it is serving and not leaving, or if its service has no health check.
    void check(const UpstreamPtr &upstream, const ServingConfig &config, TimePoint now,
               const StateCallback &onServing);

    /// Connects to the upstream; calls `onUnreachable` if that fails.
    void checkConnection(const UpstreamPtr &upstream, const StateCallback &onUnreachable);

    static constexpr milliseconds interval{500};

private:
    boost::asio::awaitable<void> run(UpstreamPtr upstream, std::string path,
                                     StateCallback onServing);
    boost::asio::awaitable<void> connect(UpstreamPtr upstream, StateCallback onUnreachable);
    boost::asio::awaitable<bool> isServing(UpstreamPtr upstream, std::string path);

    boost::asio::any_io_executor m_executor;
    Metrics &m_metrics;
};

} // namespace tamarack
