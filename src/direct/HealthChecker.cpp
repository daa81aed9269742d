#include "direct/HealthChecker.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "direct/UpstreamConnection.h"
#include "platform/HeaderCodec.h"
#include "process/Timers.h"

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr milliseconds responseTimeout{400};
/// From a broken attempt to the check: attempts that break with it are recorded by then.
constexpr milliseconds connectDelay{40};
constexpr int servingStatus = 200;

} // namespace

HealthChecker::HealthChecker(const asio::any_io_executor &executor, Metrics &metrics)
    : m_executor(executor)
    , m_metrics(metrics)
{}

void HealthChecker::check(const UpstreamPtr &upstream, const ServingConfig &config, TimePoint now,
                          const StateCallback &onServing)
{
    const Service *service = config.service(upstream->record.service);
    if (!service || service->healthCheckPath.empty()) {
        onServing(*upstream);
        return;
    }
    if (now < upstream->nextHealthCheck)
        return;
    upstream->nextHealthCheck = now + interval;
    asio::co_spawn(m_executor, run(upstream, service->healthCheckPath, onServing), asio::detached);
}

void HealthChecker::checkConnection(const UpstreamPtr &upstream, const StateCallback &onUnreachable)
{
    asio::co_spawn(m_executor, connect(upstream, onUnreachable), asio::detached);
}

asio::awaitable<void> HealthChecker::connect(UpstreamPtr upstream, StateCallback onUnreachable)
{
    co_await pause(connectDelay);
    const auto made =
        co_await UpstreamConnection::makeConnection(m_executor, upstream->record.endpoint);
    m_metrics.add("tamarack_connection_checks_total",
                  made ? "outcome=\"accepted\"" : "outcome=\"refused\"");
    if (made)
        (*made)->close();
    else
        onUnreachable(*upstream);
}

asio::awaitable<void> HealthChecker::run(UpstreamPtr upstream, std::string path,
                                         StateCallback onServing)
{
    const bool serving = co_await isServing(upstream, std::move(path));
    m_metrics.add("tamarack_health_checks_total",
                  serving ? "outcome=\"serving\"" : "outcome=\"not_serving\"");
    logEvent(
        LogLevel::Info, "upstream_checked",
        {{"upstream", upstream->record.id}, {"born", upstream->record.born}, {"serving", serving}});
    if (serving)
        onServing(*upstream);
}

asio::awaitable<bool> HealthChecker::isServing(UpstreamPtr upstream, std::string path)
{
    const UpstreamRecord record = upstream->record;
    auto made = co_await UpstreamConnection::makeConnection(m_executor, record.endpoint);
    if (!made)
        co_return false;
    const auto connection = *made;
    asio::steady_timer timer(m_executor, responseTimeout);
    timer.async_wait([connection](boost::system::error_code error) {
        if (!error)
            connection->close();
    });
    connection->send(platform::encodeHealthCheck(std::move(path), record));
    const auto head = co_await connection->readHead();
    timer.cancel();
    connection->close();
    if (!head || head->status != servingStatus)
        co_return false;
    const ResponseFacts facts = platform::decodeAnswer(head->status, head->headers);
    co_return facts.upstreamId == record.id && !facts.statement.leaving;
}

} // namespace tamarack
