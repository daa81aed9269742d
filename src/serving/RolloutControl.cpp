#include "serving/RolloutControl.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

/// Part of the largest allowed share that an entry uses: others send at the same moment, and
/// requests that are sent may not be counted.
constexpr double usedShare = 0.5;
/// Fractions of the order's duration: a version is watched up to the first; after the second it is
/// turned back unless it counts as good; at the third the order is completed even if requests still
/// run at the former version.
constexpr double watchFraction = 0.55;
constexpr double undecidedFraction = 0.85;
constexpr double completeFraction = 0.92;
/// Answers of the new version within the judge's window without which the watch goes on.
constexpr std::uint64_t leastRecent = 5;
/// With fewer entries reachable, what the others saw is not known.
constexpr double leastReachable = 0.5;
/// Time for which a writer is waited for before the next one writes.
constexpr milliseconds writerPatience{700};
/// Time for which a final status is reported to the others.
constexpr milliseconds settledReport{5000};

milliseconds millisecondsOf(BootTime duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

} // namespace

double RolloutControl::watchShare() const
{
    return usedShare * m_bounds.exposeShare;
}

void RolloutControl::setVersions(const std::map<std::string, std::set<std::string>> &versions,
                                 BootTime now)
{
    decltype(m_versions) listed;
    for (const auto &[service, names] : versions) {
        const auto known = m_versions.find(service);
        for (const std::string &name : names) {
            const bool isKnown = known != m_versions.end() && known->second.contains(name);
            listed[service][name] = isKnown ? known->second.at(name) : now;
        }
        std::set<std::string> &established = m_established[service];
        std::erase_if(established, [&](const auto &name) { return !names.contains(name); });
        if (names.size() != 1)
            continue;
        established.insert(*names.begin());
        // A service's only version is the one in use, whatever became of the order for it.
        if (const auto withdrawn = m_withdrawn.find(service); withdrawn != m_withdrawn.end())
            withdrawn->second.erase(*names.begin());
    }
    m_versions = std::move(listed);
    std::erase_if(m_established, [&](const auto &item) { return !versions.contains(item.first); });
}

void RolloutControl::applyOrders(std::span<const RolloutOrder> orders, BootTime readAt,
                                 BootTime now)
{
    if (m_readAt && readAt < *m_readAt)
        return;
    m_readAt = readAt;
    m_unknownReported = false;
    std::erase_if(m_rollouts, [&](const auto &item) {
        const Rollout &rollout = item.second;
        const bool remains = std::ranges::any_of(
            orders, [&](const RolloutOrder &order) { return order.isSame(rollout.order); });
        if (!remains && rollout.settled != RolloutState::Completed)
            m_withdrawn[item.first].insert(rollout.order.to);
        return !remains;
    });
    for (const RolloutOrder &order : orders) {
        const auto [row, isNew] = m_rollouts.try_emplace(order.service);
        Rollout &rollout = row->second;
        if (isNew) {
            rollout.seenAt = now;
            m_withdrawn[order.service].erase(order.to);
        } else if (!order.isSame(rollout.order)) {
            continue;
        }
        rollout.order = order;
        rollout.provedAt = std::max(rollout.provedAt.value_or(readAt), readAt);
        if (isFinal(order.state) && rollout.settled != order.state)
            settle(rollout, order.state, now);
    }
}

void RolloutControl::settle(Rollout &rollout, RolloutState state, BootTime now) const
{
    rollout.settled = state;
    rollout.settledAt = now;
    rollout.former.clear();
    const auto listed = m_versions.find(rollout.order.service);
    if (state == RolloutState::Completed && listed != m_versions.end())
        for (const auto &[version, since] : listed->second)
            if (version != rollout.order.to)
                rollout.former.insert(version);
}

bool RolloutControl::applyReport(Incarnation process, const RolloutReport &report, BootTime now)
{
    const auto found = m_rollouts.find(report.service);
    const bool isSame = found != m_rollouts.end() && found->second.order.to == report.to
                        && found->second.order.created == report.created;
    // An entry that is behind reports an order that has been replaced since.
    const bool isOlder =
        found != m_rollouts.end() && report.revision < found->second.order.revision;
    if (!isSame || report.revision > found->second.order.revision)
        m_unknownReported = m_unknownReported || !isOlder;
    if (!isSame)
        return false;
    Rollout &rollout = found->second;
    const RolloutVerdict before = rollout.verdict;
    rollout.seenAt = std::min(rollout.seenAt, now - report.orderAge);
    rollout.judge.apply(process, report.evidence);
    if (report.verdict == RolloutVerdict::Bad) {
        rollout.judge.condemn();
        rollout.verdict = RolloutVerdict::Bad;
    }
    // What arrives after a standstill may be as old as that.
    const bool stoodStill =
        !m_tickAt || now - *m_tickAt > standstill || now - m_resumedAt < backlog;
    if (stoodStill || report.revision < rollout.order.revision)
        return rollout.verdict != before;
    if (report.verdict == RolloutVerdict::Good && rollout.verdict == RolloutVerdict::Open)
        rollout.verdict = RolloutVerdict::Good;
    if (report.proofAge)
        rollout.provedAt =
            std::max(rollout.provedAt.value_or(BootTime()), now - BootTime(*report.proofAge));
    return rollout.verdict != before;
}

bool RolloutControl::isProved(const Rollout &rollout, BootTime now)
{
    return rollout.provedAt && now - *rollout.provedAt <= maxProofAge;
}

bool RolloutControl::hasReached(const Rollout &rollout, double fraction, BootTime now)
{
    return now - rollout.seenAt
           >= std::chrono::duration_cast<BootTime>(rollout.order.duration * fraction);
}

bool RolloutControl::isListed(const std::string &service, const std::string &version) const
{
    const auto listed = m_versions.find(service);
    return listed != m_versions.end() && listed->second.contains(version);
}

bool RolloutControl::isGood(const Rollout &rollout, const RolloutFleetView &fleet,
                            BootTime now) const
{
    return fleet.writerRank && isProved(rollout, now) && fleet.reachableShare >= leastReachable
           && now - m_resumedAt >= backlog && hasReached(rollout, watchFraction, now)
           && isListed(rollout.order.service, rollout.order.to)
           && rollout.judge.total(true).answers >= leastAnswers
           && rollout.judge.recentAnswers() >= leastRecent;
}

void RolloutControl::tick(const RolloutFleetView &fleet, BootTime now)
{
    if (m_tickAt && now - *m_tickAt > standstill)
        m_resumedAt = now;
    m_tickAt = now;
    for (auto &[service, rollout] : m_rollouts) {
        if (rollout.settled)
            continue;
        rollout.judge.apply(0, rollout.own);
        if (rollout.judge.isBad(now))
            rollout.verdict = RolloutVerdict::Bad;
        else if (rollout.verdict == RolloutVerdict::Open && isGood(rollout, fleet, now))
            rollout.verdict = RolloutVerdict::Good;
    }
}

bool RolloutControl::isCleared(const std::string &service, const std::string &version) const
{
    const auto established = m_established.find(service);
    if (established != m_established.end() && established->second.contains(version))
        return true;
    return m_readAt && *m_readAt >= m_versions.at(service).at(version);
}

std::set<std::string> RolloutControl::withheldVersions(std::string_view service, BootTime now) const
{
    std::set<std::string> withheld;
    const auto listed = m_versions.find(service);
    if (listed == m_versions.end() || listed->second.size() < 2)
        return withheld;
    const auto found = m_rollouts.find(service);
    const auto withdrawn = m_withdrawn.find(service);
    for (const auto &[version, since] : listed->second) {
        bool isWithheld = !isCleared(listed->first, version);
        if (withdrawn != m_withdrawn.end() && withdrawn->second.contains(version))
            isWithheld = true;
        if (found != m_rollouts.end()) {
            const Rollout &rollout = found->second;
            const bool isNew = version == rollout.order.to;
            const bool moves = !rollout.settled && rollout.verdict == RolloutVerdict::Good
                               && isProved(rollout, now)
                               && listed->second.contains(rollout.order.to);
            if (rollout.settled == RolloutState::Completed)
                isWithheld = isWithheld || rollout.former.contains(version);
            else
                isWithheld = isWithheld || (moves ? !isNew : isNew);
        }
        if (isWithheld)
            withheld.insert(version);
    }
    return withheld;
}

bool RolloutControl::takeTurn(std::string_view service, BootTime now)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return false;
    Rollout &rollout = found->second;
    const std::string &to = rollout.order.to;
    const bool isWatched = !rollout.settled && rollout.verdict == RolloutVerdict::Open;
    if (!isWatched || !isProved(rollout, now) || !isListed(found->first, to)
        || !isCleared(found->first, to) || m_versions.at(found->first).size() < 2)
        return false;
    if (static_cast<double>(rollout.newSends + 1)
        > watchShare() * static_cast<double>(rollout.sends))
        return false;
    ++rollout.newSends;
    return true;
}

bool RolloutControl::maySend(std::string_view service, std::string_view version, BootTime now) const
{
    const auto listed = m_versions.find(service);
    if (listed == m_versions.end() || listed->second.size() < 2)
        return true;
    const std::string name(version);
    const auto withdrawn = m_withdrawn.find(service);
    if (withdrawn != m_withdrawn.end() && withdrawn->second.contains(name))
        return false;
    if (listed->second.contains(name) && !isCleared(listed->first, name))
        return false;
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return true;
    const Rollout &rollout = found->second;
    if (version != rollout.order.to)
        return rollout.settled != RolloutState::Completed || !rollout.former.contains(name);
    if (rollout.settled)
        return rollout.settled == RolloutState::Completed;
    return rollout.verdict != RolloutVerdict::Bad && isProved(rollout, now);
}

void RolloutControl::countSend(std::string_view service, std::string_view version, bool isTurn)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() || found->second.settled)
        return;
    ++found->second.sends;
    if (version == found->second.order.to && !isTurn)
        ++found->second.newSends;
}

void RolloutControl::recordAnswer(const RolloutAnswer &answer)
{
    const auto found = m_rollouts.find(answer.service);
    if (found == m_rollouts.end() || found->second.settled)
        return;
    RolloutEvidence &own = found->second.own;
    const bool isNew = answer.version == found->second.order.to;
    auto row = std::ranges::find_if(own.tallies, [&](const RolloutTally &each) {
        return each.isNew == isNew && each.routeTier == answer.routeTier;
    });
    if (row == own.tallies.end())
        row = own.tallies.insert(row, RolloutTally{isNew, answer.routeTier, 0, 0, 0});
    ++row->answers;
    row->failures += answer.failed ? 1 : 0;
    row->slow += answer.slow ? 1 : 0;
    const std::uint64_t bit = std::uint64_t(1) << (answer.upstream % 64);
    if (isNew && answer.failed)
        own.failedUpstreams |= bit;
    if (isNew && answer.slow)
        own.slowUpstreams |= bit;
}

bool RolloutControl::needsRead(BootTime now) const
{
    if (!m_readAt || m_unknownReported)
        return true;
    const bool hasUncleared = std::ranges::any_of(m_versions, [this](const auto &service) {
        return service.second.size() > 1
               && std::ranges::any_of(service.second, [&](const auto &version) {
                      return !isCleared(service.first, version.first);
                  });
    });
    return hasUncleared || std::ranges::any_of(m_rollouts, [now](const auto &item) {
               const Rollout &rollout = item.second;
               return !rollout.settled
                      && (!rollout.provedAt || now - *rollout.provedAt > readProofAge);
           });
}

bool RolloutControl::isActive() const
{
    return std::ranges::any_of(m_rollouts, [](const auto &item) { return !item.second.settled; });
}

std::optional<RolloutState> RolloutControl::desiredState(const Rollout &rollout,
                                                         const RolloutFleetView &fleet,
                                                         BootTime now) const
{
    const RolloutOrder &order = rollout.order;
    if (rollout.settled)
        return order.state == *rollout.settled ? std::nullopt : rollout.settled;
    if (rollout.verdict == RolloutVerdict::Bad)
        return RolloutState::RolledBack;
    if (rollout.verdict == RolloutVerdict::Good) {
        const bool isOver =
            hasReached(rollout, completeFraction, now) || fleet.formerIdle.contains(order.service);
        if (isOver)
            return RolloutState::Completed;
    } else if (hasReached(rollout, undecidedFraction, now)) {
        return RolloutState::RolledBack;
    }
    return order.state == RolloutState::Ordered ? std::optional(RolloutState::Running)
                                                : std::nullopt;
}

std::optional<RolloutStatusDue> RolloutControl::statusDue(const RolloutFleetView &fleet,
                                                          BootTime now)
{
    for (auto &[service, rollout] : m_rollouts) {
        const auto state = desiredState(rollout, fleet, now);
        if (!state || !fleet.writerRank) {
            rollout.dueSince.reset();
            continue;
        }
        rollout.dueSince = rollout.dueSince.value_or(now);
        const BootTime patience = writerPatience * static_cast<std::int64_t>(*fleet.writerRank);
        if (isProved(rollout, now) && now - *rollout.dueSince >= patience)
            return RolloutStatusDue{rollout.order, *state};
    }
    return std::nullopt;
}

std::vector<RolloutReport> RolloutControl::reports(BootTime now) const
{
    std::vector<RolloutReport> reports;
    for (const auto &[service, rollout] : m_rollouts) {
        if (rollout.settled && now - rollout.settledAt > settledReport)
            continue;
        RolloutReport report;
        report.service = service;
        report.to = rollout.order.to;
        report.created = rollout.order.created;
        report.revision = rollout.order.revision;
        report.verdict = rollout.verdict;
        report.orderAge = millisecondsOf(now - rollout.seenAt);
        // Relayed proofs are not passed on.
        if (m_readAt && now - *m_readAt <= maxProofAge)
            report.proofAge = millisecondsOf(now - *m_readAt);
        if (!rollout.settled)
            report.evidence = rollout.own;
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<RolloutControl::View> RolloutControl::views(BootTime now) const
{
    std::vector<View> views;
    for (const auto &[service, rollout] : m_rollouts) {
        View view;
        view.order = rollout.order;
        view.verdict = rollout.verdict;
        view.settled = rollout.settled;
        view.age = millisecondsOf(now - rollout.seenAt);
        if (rollout.provedAt)
            view.proofAge = millisecondsOf(now - *rollout.provedAt);
        view.sends = rollout.sends;
        view.newSends = rollout.newSends;
        view.current = rollout.judge.total(true);
        view.former = rollout.judge.total(false);
        views.push_back(std::move(view));
    }
    return views;
}

std::optional<std::string> RolloutControl::newVersion(std::string_view service) const
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() || found->second.settled)
        return std::nullopt;
    return found->second.order.to;
}

milliseconds RolloutControl::orderAge(std::string_view service, BootTime now) const
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() ? milliseconds(0) : millisecondsOf(now - found->second.seenAt);
}

} // namespace tamarack
