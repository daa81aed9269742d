#pragma once

#include "config/FleetConfig.h"
#include "config/Settings.h"
#include "entry/CallerChannel.h"
#include "sched/EntryCore.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <span>

namespace tamarack {

class HttpExchange;
class Metrics;

/// The scheduler as the caller interface sees it. All functions may be called from any thread.
struct CallerPorts
{
    std::function<void(Submission, std::shared_ptr<CallerChannel>)> submit;
    std::function<void(RequestId)> callerGone;
    std::function<void(RequestId, std::uint64_t bytes)> callerTook;
    /// The configuration in force; null before the first one.
    std::function<FleetConfigPtr()> config;
    std::function<bool()> ready;
    /// Brings the metrics up to date with the scheduler and prints them.
    std::function<boost::asio::awaitable<std::string>()> metricsText;
};

/// The HTTP interface for callers.
class CallerApi
{
public:
    CallerApi(CallerPorts ports, Metrics &metrics);
    ~CallerApi();
    CallerApi(const CallerApi &) = delete;
    CallerApi &operator=(const CallerApi &) = delete;

    /// Replaces the tokens; requests in progress are not affected. Any thread.
    void setTokens(std::span<const TokenSettings> workspaces);

    /// Serves one request to its end.
    boost::asio::awaitable<void> serve(HttpExchange &exchange);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace tamarack
