#include "direct/RestartChecker.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "direct/UpstreamConnection.h"
#include "direct/UpstreamReport.h"
#include "process/Timers.h"

#include <algorithm>
#include <exception>

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

/// A connection and a report take less.
constexpr milliseconds longestCheck{750};
constexpr milliseconds resultPoll{5};

} // namespace

RestartChecker::RestartChecker(const asio::any_io_executor &executor, Metrics &metrics)
    : m_executor(executor)
    , m_metrics(metrics)
{}

asio::awaitable<UpstreamPtr> RestartChecker::check(const std::vector<UpstreamPtr> &suspects)
{
    const TimePoint start = steadyNow();
    for (const UpstreamPtr &upstream : suspects) {
        if (start < upstream->nextRestartCheck)
            continue;
        upstream->nextRestartCheck = start + interval;
        upstream->isRestartCheckRunning = true;
        asio::co_spawn(m_executor, ask(upstream), [this, upstream](std::exception_ptr thrown) {
            upstream->isRestartCheckRunning = false;
            if (thrown)
                recordFailure(*upstream);
        });
    }
    const auto firstRunning = [&suspects] {
        return std::ranges::find_if(suspects, &UpstreamState::isRestartCheckRunning,
                                    [](const UpstreamPtr &each) -> auto & { return *each; });
    };
    while (firstRunning() != suspects.end() && steadyNow() - start < longestCheck)
        co_await pause(resultPoll);
    const auto unfinished = firstRunning();
    co_return unfinished == suspects.end() ? nullptr : *unfinished;
}

asio::awaitable<void> RestartChecker::ask(UpstreamPtr upstream)
{
    const UpstreamRecord record = upstream->record;
    std::string_view found = "unreachable";
    const auto made = co_await UpstreamConnection::makeConnection(m_executor, record.endpoint);
    if (made) {
        ProcessIdentity identity = ProcessIdentity::NotReported;
        if (upstream->reportsStart()) {
            const UpstreamReport report = co_await readReport(m_executor, *made, record);
            identity = identify(report, record);
        }
        (*made)->close();
        UpstreamTable::recordProcess(*upstream, identity, steadyNow());
        found = processIdentityName(identity);
    }
    recordOutcome(*upstream, found);
}

void RestartChecker::recordFailure(UpstreamState &upstream)
{
    // A process may respond there, although no request can be made from the upstream's entry.
    UpstreamTable::recordProcess(upstream, ProcessIdentity::Silent, steadyNow());
    recordOutcome(upstream, "failed");
}

void RestartChecker::recordOutcome(const UpstreamState &upstream, std::string_view found)
{
    m_metrics.add("tamarack_restart_checks_total", fmt::format("outcome=\"{}\"", found));
    logEvent(LogLevel::Info, "restart_checked",
             {{"upstream", upstream.record.id},
              {"born", upstream.record.born},
              {"found", found},
              {"suspected_ms", toMs(upstream.restartSuspectedUntil - steadyNow())},
              {"unlisted_ms", toMs(upstream.unlistedUntil - steadyNow())}});
}

} // namespace tamarack
