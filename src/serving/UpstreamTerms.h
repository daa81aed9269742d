#pragma once

#include "base/Time.h"
#include "serving/ToldTerms.h"
#include "serving/UpstreamStatement.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tamarack {

/// What of an upstream's terms has changed.
struct TermsNews
{
    bool limit = false;
    bool leaving = false;
    bool closed = false;

    bool any() const { return limit || leaving || closed; }
};

/// On what terms one upstream takes requests, as it says in its answers to this entry and to the
/// others, and whether it may get a request from this entry now.
///
/// Load: upstreams in need that take a fraction of their usual requests, while answers, messages of
/// other entries and this process itself are late. What was sent before a limit was heard of counts
/// against it.
class UpstreamTerms
{
public:
    /// Takes what an answer to a request sent at `sentAt` says.
    TermsNews hear(const UpstreamStatement &statement, TimePoint sentAt, TimePoint now);
    /// Takes what the other entries tell, all of it each time.
    TermsNews setTold(std::vector<HeardTerms> told);
    /// Requests a second that this entry may send while a limit holds.
    void setShare(double perSecond) { m_share = perSecond; }

    /// Whether a request that has been assigned may still be sent.
    bool isOpen(TimePoint now) const { return !m_leaving && now >= m_closedUntil; }
    /// When it takes requests again, as it said; not for one that leaves.
    TimePoint closedUntil() const { return m_closedUntil; }
    /// Whether a request may be sent now.
    bool admits(TimePoint now) const;
    void countSend(TimePoint now);

    /// Requests a second from all entries together; none without a limit.
    std::optional<double> limitPerSecond() const { return m_limit; }
    double share() const { return m_share; }
    /// Sends of all entries within the window, as far as known.
    std::uint32_t recentSends(TimePoint now) const;
    bool isLimited() const { return m_limit.has_value(); }
    /// It has said that it leaves; nothing that it says later takes that back.
    bool isLeaving() const { return m_leaving; }
    /// Nothing was said that binds beyond a moment's absence from the store's list.
    bool isPlain() const { return !m_leaving && !m_limit && m_closedUntil == TimePoint{}; }
    bool hasTold() const { return !m_told.empty(); }

    /// What this entry tells the others; none when it has nothing to tell.
    std::optional<ToldTerms> told(UpstreamKey upstream, TimePoint now) const;

    /// The platform judges limits over 4 s of arrivals; sends take different times to arrive.
    static constexpr milliseconds window{4500};
    /// An upstream is not left alone for longer, whatever it asks: it may be a mistake.
    static constexpr std::chrono::minutes longestClosed{5};

private:
    /// One word of the upstream on its limit, said between `from` and `to` on this entry's clock:
    /// answers may be under way, or lie unread, for any time.
    struct Word
    {
        std::optional<double> perSecond;
        TimePoint from{};
        TimePoint to{};

        bool isStricterThan(const Word &other) const;
        bool isAfter(const Word &other) const { return from > other.to; }
    };

    static std::optional<Word> wordOf(const HeardTerms &heard);
    bool hearLimit(const UpstreamStatement &statement, TimePoint sentAt, TimePoint now);
    /// Adds to what was heard: what is certainly later, or stricter and perhaps later, replaces it.
    bool merge(const Word &word);
    /// Of the words that no other is certainly after, the strictest holds. True when it is another
    /// limit than before.
    bool renew();
    std::vector<Word> currentWords() const;
    std::uint32_t ownSends(TimePoint now) const;

    /// By this entry, or told by one that tells no longer.
    Word m_heard;
    bool m_heardHere = false;
    bool m_leaving = false;
    /// When it said so to this entry; the epoch: only others were told.
    TimePoint m_leavingHeardAt{};
    TimePoint m_closedUntil{};
    std::vector<HeardTerms> m_told;
    std::optional<double> m_limit;
    double m_share = 0;
    /// The next send within the share.
    TimePoint m_nextSend{};
    std::deque<TimePoint> m_sends;
};

} // namespace tamarack
