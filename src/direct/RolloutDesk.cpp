#include "direct/RolloutDesk.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "base/MetricLabel.h"
#include "process/Timers.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

namespace tamarack {

namespace {

/// An answer is slow beyond this multiple of the expected time, and this much more.
constexpr double slowFactor = 2.5;
constexpr milliseconds slowExtra{20};
/// The watched upstreams change, so that one faulty upstream is not taken for its version.
constexpr milliseconds watchedFor{2000};
constexpr std::size_t leastWatched = 2;
/// Time between two requests to read the orders.
constexpr milliseconds readInterval{150};

std::string_view verdictName(RolloutVerdict verdict)
{
    switch (verdict) {
    case RolloutVerdict::Good:
        return "good";
    case RolloutVerdict::Bad:
        return "bad";
    case RolloutVerdict::Open:
        break;
    }
    return "open";
}

} // namespace

RolloutDesk::RolloutDesk(std::optional<RolloutBounds> bounds, UpstreamTable &upstreams,
                         DispatchQueue &queue, Metrics &metrics)
    : m_upstreams(upstreams)
    , m_queue(queue)
    , m_metrics(metrics)
{
    if (bounds)
        m_control.emplace(*bounds);
}

void RolloutDesk::upstreamsChanged()
{
    if (!m_control)
        return;
    const BootTime now = bootNow();
    m_control->setVersions(m_upstreams.versions(), now);
    applyWithheld(now);
    if (m_control->needsRead(now) && onReadDue)
        onReadDue();
}

void RolloutDesk::applyOrders(const std::vector<RolloutOrder> &orders, BootTime readAt)
{
    if (!m_control)
        return;
    const BootTime now = bootNow();
    m_control->applyOrders(orders, readAt, now);
    applyWithheld(now);
    logChanges(now);
}

void RolloutDesk::applyReports(Incarnation process, std::span<const RolloutReport> reports)
{
    if (!m_control)
        return;
    const BootTime now = bootNow();
    bool changed = false;
    for (const RolloutReport &report : reports)
        changed |= m_control->applyReport(process, report, now);
    if (changed)
        applyWithheld(now);
}

std::vector<RolloutReport> RolloutDesk::reports() const
{
    return m_control ? m_control->reports(bootNow()) : std::vector<RolloutReport>();
}

void RolloutDesk::applyWithheld(BootTime now)
{
    for (const auto &[service, versions] : m_upstreams.versions()) {
        const std::set<std::string> withheld = m_control->withheldVersions(service, now);
        const bool changed = m_upstreams.withholdVersions(service, withheld);
        std::set<std::string> &known = m_withheld[service];
        if (!changed && known == withheld)
            continue;
        logEvent(LogLevel::Info, "rollout_withheld",
                 {{"service", service},
                  {"versions", fmt::format("{}", fmt::join(versions, ","))},
                  {"withheld", fmt::format("{}", fmt::join(withheld, ","))}});
        known = withheld;
        m_queue.withholdVersions(service, withheld);
    }
    std::erase_if(m_withheld,
                  [this](const auto &item) { return m_upstreams.ofService(item.first).empty(); });
}

void RolloutDesk::prepare(QueuedRequest &request)
{
    if (!m_control || request.version)
        return;
    const auto withheld = m_withheld.find(request.service);
    if (withheld == m_withheld.end() || withheld->second.empty())
        return;
    const BootTime now = bootNow();
    request.withheldVersions = withheld->second;
    const auto to = m_control->newVersion(request.service);
    if (!to || !request.withheldVersions.contains(*to))
        return;
    // A turn must not wait for a place while the former version has one.
    std::vector<UpstreamKey> free;
    const TimePoint at = steadyNow();
    const std::vector<UpstreamKey> watched = watchedUpstreams(request.service, *to, now);
    for (const UpstreamPtr &upstream : m_upstreams.ofService(request.service)) {
        const bool isUsable =
            std::ranges::find(watched, upstream->key) != watched.end()
            && std::ranges::find(request.excluded, upstream->key) == request.excluded.end()
            && UpstreamTable::freePlaces(*upstream, at) > 0;
        if (isUsable)
            free.push_back(upstream->key);
    }
    if (free.empty() || !m_control->takeTurn(request.service, now))
        return;
    request.withheldVersions.erase(*to);
    request.onlyAt = std::move(free);
}

std::vector<UpstreamKey> RolloutDesk::watchedUpstreams(const std::string &service,
                                                       const std::string &to, BootTime now) const
{
    std::vector<UpstreamKey> current;
    std::size_t former = 0;
    for (const UpstreamPtr &upstream : m_upstreams.ofService(service)) {
        if (upstream->record.version == to)
            current.push_back(upstream->key);
        else
            ++former;
    }
    const double share = m_control->watchShare();
    const double likeFormer = std::ceil(share / (1 - share) * static_cast<double>(former));
    const std::size_t count =
        std::min(current.size(), std::max(leastWatched, static_cast<std::size_t>(likeFormer)));
    const auto round = static_cast<std::uint64_t>(m_control->orderAge(service, now) / watchedFor);
    std::ranges::sort(current, {}, [round](UpstreamKey key) { return mixBits(key, round); });
    current.resize(count);
    return current;
}

bool RolloutDesk::maySend(std::string_view service, std::string_view version) const
{
    return !m_control || m_control->maySend(service, version, bootNow());
}

bool RolloutDesk::maySend(const UpstreamState &upstream) const
{
    return maySend(upstream.record.service, upstream.record.version);
}

void RolloutDesk::countSend(const UpstreamState &upstream, bool isTurn)
{
    if (m_control)
        m_control->countSend(upstream.record.service, upstream.record.version, isTurn);
}

void RolloutDesk::recordAnswer(const UpstreamState &upstream, std::uint8_t routeTier,
                               const Outcome &outcome)
{
    if (!m_control)
        return;
    const bool slow = toFractionalMs(outcome.took)
                      > slowFactor * toFractionalMs(outcome.expected) + toFractionalMs(slowExtra);
    m_control->recordAnswer({upstream.record.service, upstream.record.version, routeTier,
                             upstream.key, outcome.failed, slow && !outcome.failed});
}

std::set<std::string> RolloutDesk::idleFormer() const
{
    std::set<std::string> idle;
    for (const auto &[service, versions] : m_upstreams.versions()) {
        const auto to = m_control->newVersion(service);
        const bool isIdle =
            to && std::ranges::all_of(m_upstreams.ofService(service), [&](const UpstreamPtr &each) {
                return each->record.version == *to || each->inFlight() == 0;
            });
        if (isIdle)
            idle.insert(service);
    }
    return idle;
}

void RolloutDesk::tick(const Fleet &fleet)
{
    if (!m_control)
        return;
    const BootTime now = bootNow();
    RolloutFleetView view;
    view.reachableShare = fleet.reachableShare;
    const auto own = std::ranges::find(fleet.followers, fleet.ownName);
    if (own != fleet.followers.end() && !fleet.draining)
        view.writerRank = static_cast<std::size_t>(own - fleet.followers.begin());
    m_control->tick(view, now);
    applyWithheld(now);
    if (m_control->isActive())
        view.formerIdle = idleFormer();
    if (const auto due = m_control->statusDue(view, now); due && onStatusDue)
        onStatusDue(*due);
    if (m_control->needsRead(now) && now - m_readRequestedAt >= readInterval && onReadDue) {
        m_readRequestedAt = now;
        onReadDue();
    }
    const bool active = m_control->isActive();
    if ((fleet.elected != m_elected || active != m_active) && onDutyChanged)
        onDutyChanged(fleet.elected, active);
    m_elected = fleet.elected;
    m_active = active;
    logChanges(now);
}

void RolloutDesk::logChanges(BootTime now)
{
    const auto views = m_control->views(now);
    std::erase_if(m_logged, [&](const auto &item) {
        const bool remains = std::ranges::any_of(views, [&](const RolloutControl::View &view) {
            return view.order.service == item.first;
        });
        if (!remains) {
            logEvent(LogLevel::Info, "rollout_withdrawn",
                     {{"service", item.first}, {"to", item.second.order.to}});
            m_metrics.add("tamarack_rollouts_withdrawn_total", "");
        }
        return !remains;
    });
    for (const RolloutControl::View &view : views) {
        const std::string &service = view.order.service;
        const std::string label = metricLabel("service", service);
        m_metrics.set("tamarack_rollout_requests", label, view.sends);
        m_metrics.set("tamarack_rollout_requests_new", label, view.newSends);
        m_metrics.gauge("tamarack_rollout_verdict", label, static_cast<double>(view.verdict));
        m_metrics.gauge("tamarack_rollout_state", label, static_cast<double>(view.order.state));
        const auto [row, isNew] = m_logged.try_emplace(service);
        Logged &logged = row->second;
        const bool changed = isNew || !logged.order.isSame(view.order)
                             || logged.order.state != view.order.state
                             || logged.verdict != view.verdict;
        logged = {view.order, view.verdict};
        if (!changed)
            continue;
        logEvent(LogLevel::Info, "rollout",
                 {{"service", service},
                  {"to", view.order.to},
                  {"created", view.order.created},
                  {"revision", view.order.revision},
                  {"state", rolloutStateName(view.order.state)},
                  {"verdict", verdictName(view.verdict)},
                  {"age_ms", view.age.count()},
                  {"duration_ms", view.order.duration.count()},
                  {"proof_age_ms", view.proofAge.count()},
                  {"sends", view.sends},
                  {"new_sends", view.newSends},
                  {"new_answers", view.current.answers},
                  {"new_failures", view.current.failures},
                  {"new_slow", view.current.slow},
                  {"former_answers", view.former.answers},
                  {"former_failures", view.former.failures},
                  {"former_slow", view.former.slow}});
    }
}

} // namespace tamarack
