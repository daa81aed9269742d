#pragma once

#include "base/Time.h"
#include "serving/ToldTerms.h"
#include "serving/UpstreamStatement.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tamarack {

/// On what terms one upstream takes requests, as it says in its answers to this entry and to the
/// others, and whether it may get a request from this entry now.
///
/// Load: upstreams in need that take a fraction of their usual requests, while answers, messages of
/// other entries and this process itself are late. What was sent before a limit was heard of counts
/// against it.
class UpstreamTerms
{
public:
    /// Takes what an answer to a request sent at `sentAt` says; true when it is news. An answer
    /// without a limit ends a limit only if its request was sent after that was heard: one that was
    /// under way then says nothing of what came later.
    bool hear(const UpstreamStatement &statement, TimePoint sentAt, TimePoint now);
    /// Takes what the other entries tell, all of it each time; true when it is news.
    bool setTold(std::vector<HeardTerms> told);
    /// Requests a second that this entry may send while a limit holds.
    void setShare(double perSecond) { m_share = perSecond; }

    /// Whether a request may be sent now.
    bool admits(TimePoint now) const;
    void countSend(TimePoint now);

    /// Requests a second from all entries together; none without a limit.
    std::optional<double> limitPerSecond() const { return m_newest.perSecond; }
    double share() const { return m_share; }
    /// Sends of all entries within the window, as far as known.
    std::uint32_t recentSends(TimePoint now) const;
    bool isLimited() const { return m_newest.perSecond.has_value(); }
    bool hasTold() const { return !m_told.empty(); }

    /// What this entry tells the others; none when it has nothing to tell.
    std::optional<ToldTerms> told(UpstreamKey upstream, TimePoint now) const;

    /// The platform judges limits over 4 s of arrivals; sends take different times to arrive.
    static constexpr milliseconds window{4500};

private:
    struct Limit
    {
        std::optional<double> perSecond;
        /// On this entry's clock, never before the upstream said it; the epoch: nothing was said.
        TimePoint heardAt{};
    };

    static Limit limitOf(const HeardTerms &heard);
    /// Takes over the newest of what was heard and told; true when the limit is another.
    bool renew();
    std::uint32_t ownSends(TimePoint now) const;
    bool isContradicted() const;

    /// By this entry, or told by one that tells no longer.
    Limit m_heard;
    bool m_heardHere = false;
    std::vector<HeardTerms> m_told;
    Limit m_newest;
    double m_share = 0;
    /// The next send within the share.
    TimePoint m_nextSend{};
    std::deque<TimePoint> m_sends;
};

} // namespace tamarack
