#include "serving/UpstreamTerms.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace tamarack {

namespace {

/// The end of a limit is reported for this long, and longer while another entry still reports a
/// different limit.
constexpr std::chrono::seconds limitEndReporting{20};
/// That an upstream is leaving is reported for this long; after that the store lists it as such.
constexpr std::chrono::seconds leavingReporting{5};
constexpr double windowSeconds = std::chrono::duration<double>(UpstreamTerms::window).count();
/// Sends per window that are allowed even under a very low limit: the end of a limit can only be
/// learned from a response.
constexpr double leastSends = 1;

} // namespace

bool UpstreamTerms::LimitStatement::isStricterThan(const LimitStatement &other) const
{
    return perSecond && (!other.perSecond || *perSecond < *other.perSecond);
}

std::optional<UpstreamTerms::LimitStatement>
UpstreamTerms::statementOf(const ReceivedTerms &received)
{
    const auto &limit = received.terms.limit;
    if (!limit)
        return std::nullopt;
    return LimitStatement{limit->perSecond, received.receivedAt - limit->sentAge,
                          received.receivedAt - limit->readAge};
}

TermsChanges UpstreamTerms::handleStatement(const UpstreamStatement &statement, TimePoint sentAt,
                                            TimePoint now)
{
    TermsChanges changes;
    changes.leaving = statement.leaving && !std::exchange(m_leaving, true);
    if (changes.leaving)
        m_leavingReceivedAt = now;
    if (statement.leaving)
        m_leavingUnconfirmed = false;
    changes.limit = handleLimit(statement, sentAt, now);
    if (statement.closedFor) {
        const TimePoint until = now + std::min<Duration>(*statement.closedFor, longestClosed);
        changes.closed = now >= m_closedUntil && until > now;
        m_closedUntil = std::max(m_closedUntil, until);
    }
    return changes;
}

TermsChanges UpstreamTerms::handleStatementOfIncarnation(const UpstreamStatement &statement,
                                                         TimePoint sentAt, TimePoint now)
{
    UpstreamStatement restrictions = statement;
    restrictions.leaving = false;
    restrictions.malformed = statement.malformed || !statement.limitPerSecond;
    TermsChanges changes = handleStatement(restrictions, sentAt, now);
    if (statement.leaving && !m_leaving) {
        m_leaving = true;
        m_leavingUnconfirmed = true;
        changes.leaving = true;
    }
    return changes;
}

bool UpstreamTerms::inherit(const UpstreamTerms &former)
{
    if (former.m_leaving && !m_leaving) {
        m_leaving = true;
        m_leavingUnconfirmed = true;
    }
    m_closedUntil = std::max(m_closedUntil, former.m_closedUntil);
    for (const LimitStatement &statement : former.currentStatements())
        if (statement.perSecond && merge(statement))
            m_receivedHere = former.m_receivedHere;
    updateLimit();
    m_share = former.m_share;
    m_nextSend = std::max(m_nextSend, former.m_nextSend);
    std::deque<TimePoint> sends;
    std::ranges::set_union(m_sends, former.m_sends, std::back_inserter(sends));
    m_sends = std::move(sends);
    return !isUnrestricted();
}

void UpstreamTerms::confirmServing()
{
    if (std::exchange(m_leavingUnconfirmed, false))
        m_leaving = false;
}

bool UpstreamTerms::handleLimit(const UpstreamStatement &statement, TimePoint sentAt, TimePoint now)
{
    const bool affectsLimit = statement.limitPerSecond || isLimited();
    if (statement.malformed || !affectsLimit)
        return false;
    if (merge({statement.limitPerSecond, sentAt, now}))
        m_receivedHere = true;
    return updateLimit();
}

bool UpstreamTerms::merge(const LimitStatement &statement)
{
    if (statement.perSecond == m_statement.perSecond && !statement.isAfter(m_statement)) {
        m_statement.from = std::max(m_statement.from, statement.from);
        m_statement.to = std::max(m_statement.to, statement.to);
        return false;
    }
    const bool replaces = statement.isAfter(m_statement) || statement.isStricterThan(m_statement);
    if (replaces)
        m_statement = statement;
    return replaces;
}

TermsChanges UpstreamTerms::setReports(std::vector<ReceivedTerms> reports)
{
    TermsChanges changes;
    const bool leaves =
        std::ranges::any_of(reports, [](const ReceivedTerms &each) { return each.terms.leaving; });
    changes.leaving = leaves && !std::exchange(m_leaving, true);
    if (leaves)
        m_leavingUnconfirmed = false;
    const auto stillReports = [&reports](const ReceivedTerms &before) {
        return std::ranges::any_of(reports, [&before](const ReceivedTerms &each) {
            return each.reporter == before.reporter && each.terms.limit;
        });
    };
    // A limit remains in force when the entry that reported it stops doing so.
    for (const ReceivedTerms &before : m_reports) {
        const auto statement = statementOf(before);
        if (statement && !stillReports(before) && merge(*statement))
            m_receivedHere = false;
    }
    m_reports = std::move(reports);
    changes.limit = updateLimit();
    return changes;
}

std::vector<UpstreamTerms::LimitStatement> UpstreamTerms::currentStatements() const
{
    std::vector<LimitStatement> statements{m_statement};
    for (const ReceivedTerms &each : m_reports)
        if (const auto statement = statementOf(each))
            statements.push_back(*statement);
    const TimePoint latest = std::ranges::max(statements, {}, &LimitStatement::from).from;
    std::erase_if(statements,
                  [latest](const LimitStatement &statement) { return latest > statement.to; });
    return statements;
}

bool UpstreamTerms::updateLimit()
{
    const std::vector<LimitStatement> statements = currentStatements();
    const auto strictest =
        std::ranges::min_element(statements, [](const LimitStatement &a, const LimitStatement &b) {
            return a.isStricterThan(b);
        });
    const auto limit = strictest == statements.end() ? std::nullopt : strictest->perSecond;
    return std::exchange(m_limit, limit) != limit;
}

bool UpstreamTerms::admits(TimePoint now) const
{
    if (!isOpen(now))
        return false;
    if (!isLimited())
        return true;
    if (m_share <= 0 || now < m_nextSend)
        return false;
    const double most = std::max(leastSends, *m_limit * windowSeconds);
    return recentSends(now) + 1 <= most;
}

void UpstreamTerms::countSend(TimePoint now)
{
    std::erase_if(m_sends, [now](TimePoint sent) { return now - sent >= window; });
    m_sends.push_back(now);
    if (!isLimited() || m_share <= 0)
        return;
    // After a pause, at most one missed send may be made up for.
    const std::chrono::duration<double> pause(std::min(windowSeconds, 1 / m_share));
    const auto interval = std::chrono::duration_cast<Duration>(pause);
    m_nextSend = std::max(m_nextSend, now - interval) + interval;
}

std::uint32_t UpstreamTerms::ownSends(TimePoint now) const
{
    return static_cast<std::uint32_t>(
        std::ranges::count_if(m_sends, [now](TimePoint sent) { return now - sent < window; }));
}

std::uint32_t UpstreamTerms::recentSends(TimePoint now) const
{
    return std::accumulate(m_reports.begin(), m_reports.end(), ownSends(now),
                           [now](std::uint32_t sum, const auto &each) {
                               return now - each.receivedAt < window ? sum + each.terms.recentSends
                                                                     : sum;
                           });
}

std::optional<TermsReport> UpstreamTerms::report(UpstreamKey upstream, TimePoint now) const
{
    if (!m_receivedHere && !isLimited() && !m_leaving)
        return std::nullopt;
    const bool reportsLeaving = m_leaving && now - m_leavingReceivedAt < leavingReporting;
    TermsReport terms{upstream, std::nullopt, reportsLeaving, 0};
    const std::vector<LimitStatement> statements = currentStatements();
    const bool isCurrent =
        std::ranges::none_of(statements, [this](const LimitStatement &statement) {
            return statement.isAfter(m_statement);
        });
    const bool isContradicted = std::ranges::any_of(m_reports, [this](const ReceivedTerms &each) {
        return each.terms.limit && each.terms.limit->perSecond != m_statement.perSecond;
    });
    const bool isUseful = isLimited() || isContradicted || now - m_statement.to < limitEndReporting;
    if (m_receivedHere && isCurrent && isUseful)
        terms.limit = LimitReport{m_statement.perSecond,
                                  std::chrono::ceil<milliseconds>(now - m_statement.from),
                                  std::chrono::floor<milliseconds>(now - m_statement.to)};
    if (isLimited())
        terms.recentSends = ownSends(now);
    if (!terms.limit && !terms.leaving && terms.recentSends == 0)
        return std::nullopt;
    return terms;
}

} // namespace tamarack
