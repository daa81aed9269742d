#pragma once

#include "base/Time.h"
#include "serving/TermsReport.h"
#include "serving/UpstreamStatement.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tamarack {

/// Which of an upstream's terms have changed.
struct TermsChanges
{
    bool limit = false;
    bool leaving = false;
    bool closed = false;

    bool any() const { return limit || leaving || closed; }
};

/// The terms on which one upstream accepts requests, as stated in its responses to this entry and
/// to the others, and whether this entry may send it a request now.
///
/// An overloaded upstream may accept only a fraction of its usual requests, while responses,
/// reports of other entries and this process itself are delayed. Requests sent before a limit
/// became known count against it.
class UpstreamTerms
{
public:
    /// Handles the statement in a response to a request sent at `sentAt`.
    TermsChanges handleStatement(const UpstreamStatement &statement, TimePoint sentAt,
                                 TimePoint now);
    /// Handles a statement that another incarnation of the upstream made, or appears to have made:
    /// the store may list a restart only after the new incarnation has responded. Only
    /// restrictions are applied.
    TermsChanges handleStatementOfIncarnation(const UpstreamStatement &statement, TimePoint sentAt,
                                              TimePoint now);
    /// Adds the restrictions of an incarnation that the store listed before this one. Returns
    /// whether any is in force.
    bool inherit(const UpstreamTerms &former);
    /// Replaces the reports of all other entries.
    TermsChanges setReports(std::vector<ReceivedTerms> reports);
    /// Sets the requests per second that this entry may send while a limit is in force.
    void setShare(double perSecond) { m_share = perSecond; }

    /// Whether a request that is already assigned to the upstream may still be sent.
    bool isOpen(TimePoint now) const { return !m_leaving && now >= m_closedUntil; }
    /// When it accepts requests again, as it stated; meaningless if it is leaving.
    TimePoint closedUntil() const { return m_closedUntil; }
    /// Whether a new request may be sent now.
    bool admits(TimePoint now) const;
    void countSend(TimePoint now);

    /// Requests per second from all entries together; none without a limit.
    std::optional<double> limitPerSecond() const { return m_limit; }
    double share() const { return m_share; }
    /// Known sends of all entries within the window.
    std::uint32_t recentSends(TimePoint now) const;
    bool isLimited() const { return m_limit.has_value(); }
    /// It has stated that it is leaving, which later statements do not revoke, or is not confirmed
    /// to be serving.
    bool isLeaving() const { return m_leaving; }
    /// It counts as leaving because another incarnation has stated so. A health check decides.
    bool isLeavingUnconfirmed() const { return m_leavingUnconfirmed; }
    /// A health check has shown that this incarnation is not leaving.
    void confirmServing();
    /// No terms are known that must be kept while the upstream is missing from the store's list.
    bool isUnrestricted() const { return !m_leaving && !m_limit && m_closedUntil == TimePoint{}; }
    bool hasReports() const { return !m_reports.empty(); }

    /// What this entry reports to the others; none if there is nothing to report.
    std::optional<TermsReport> report(UpstreamKey upstream, TimePoint now) const;

    /// The platform checks limits over 4 s of arrivals; the rest allows for varying transit times.
    static constexpr milliseconds window{4500};
    /// Upper bound on how long an upstream can close itself: a longer time may be a mistake.
    static constexpr std::chrono::minutes longestClosed{5};

private:
    /// A limit that the upstream stated at some time between `from` and `to` on this entry's clock.
    /// The exact time is unknown, since a response may be in transit or unread for any time.
    struct LimitStatement
    {
        std::optional<double> perSecond;
        TimePoint from{};
        TimePoint to{};

        bool isStricterThan(const LimitStatement &other) const;
        bool isAfter(const LimitStatement &other) const { return from > other.to; }
    };

    static std::optional<LimitStatement> statementOf(const ReceivedTerms &received);
    bool handleLimit(const UpstreamStatement &statement, TimePoint sentAt, TimePoint now);
    /// Merges `statement` into `m_statement`: replaces it by a statement that is certainly newer or
    /// stricter. Returns true if it did.
    bool merge(const LimitStatement &statement);
    /// Applies the strictest of the statements that are not certainly superseded by a newer one.
    /// Returns true if the limit has changed.
    bool updateLimit();
    std::vector<LimitStatement> currentStatements() const;
    std::uint32_t ownSends(TimePoint now) const;

    /// Received by this entry, or reported by an entry that no longer reports it.
    LimitStatement m_statement;
    bool m_receivedHere = false;
    bool m_leaving = false;
    bool m_leavingUnconfirmed = false;
    /// When this entry received that statement; the epoch if only other entries did.
    TimePoint m_leavingReceivedAt{};
    TimePoint m_closedUntil{};
    std::vector<ReceivedTerms> m_reports;
    std::optional<double> m_limit;
    double m_share = 0;
    /// Earliest time of the next send within the share.
    TimePoint m_nextSend{};
    std::deque<TimePoint> m_sends;
};

} // namespace tamarack
