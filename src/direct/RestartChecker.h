#pragma once

#include "base/Metrics.h"
#include "serving/UpstreamTable.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <string_view>
#include <vector>

namespace tamarack {

/// Asks the processes of upstreams that may have restarted what they are. Not thread-safe; use on
/// one executor only.
class RestartChecker
{
public:
    RestartChecker(const boost::asio::any_io_executor &executor, Metrics &metrics);

    /// Records in the upstreams which process responds now, if any; an upstream that was asked less
    /// than `interval` ago is not asked again. Takes 750 ms at most. Returns an upstream that could
    /// not be asked in this time; null if all were. `suspects` must outlive the call.
    boost::asio::awaitable<UpstreamPtr> check(const std::vector<UpstreamPtr> &suspects);

    static constexpr milliseconds interval{500};

private:
    boost::asio::awaitable<void> ask(UpstreamPtr upstream);
    void recordFailure(UpstreamState &upstream);
    void recordOutcome(const UpstreamState &upstream, std::string_view found);

    boost::asio::any_io_executor m_executor;
    Metrics &m_metrics;
};

} // namespace tamarack
