#include "serving/UpstreamTerms.h"
#include "serving/LimitShare.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

constexpr UpstreamKey upstreamUnderTest = 77;

std::vector<std::string> entryNames(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("entry-" + std::to_string(i));
    return names;
}

/// Random simulation of several entries in front of one upstream whose limit starts, changes and
/// ends. Entries have more requests than the upstream accepts. Their messages are delayed, lost,
/// duplicated and reordered; entries are paused, restarted and partitioned in one direction. Checks
/// the platform's rule on the arrivals at the upstream.
class LimitSchedule
{
public:
    explicit LimitSchedule(std::uint64_t seed)
        : m_random(seed)
        , m_entries(static_cast<std::size_t>(draw(2, 6)))
        , m_names(entryNames(m_entries.size()))
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i)
            m_entries[i].incarnation = i + 1;
    }

    /// Runs the simulation; returns false if the upstream received more than it allows.
    bool staysWithinLimit()
    {
        const seconds length(16);
        for (m_now = TimePoint(seconds(100)); m_now < TimePoint(seconds(100)) + length;
             m_now += milliseconds(draw(20, 80))) {
            changeLimit();
            for (Entry &entry : m_entries)
                step(entry);
            if (m_limitExceeded)
                return false;
        }
        return true;
    }

private:
    struct Message
    {
        TimePoint at{};
        std::size_t from = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::optional<TermsReport> terms;
    };
    struct Answer
    {
        TimePoint at{};
        TimePoint sentAt{};
        UpstreamStatement statement;
    };
    struct Peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint receivedAt{};
        std::optional<TermsReport> terms;
    };
    struct Entry
    {
        UpstreamTerms terms;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::map<std::size_t, Peer> peers;
        std::vector<Message> inbox;
        std::vector<Answer> answers;
        TimePoint startedAt{};
        TimePoint nextMessage{};
        TimePoint pausedUntil{};
        TimePoint partitionedUntil{};
        /// Restarted, paused or partitioned: sends before this time are not checked.
        TimePoint uncheckedUntil{};
        /// When it received a response that states the current limit or a lower one.
        std::optional<TimePoint> receivedAt;
    };
    struct Arrival
    {
        TimePoint at{};
        std::size_t entry = 0;
    };

    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
    }

    void changeLimit()
    {
        if (draw(0, 80) != 0)
            return;
        const bool ends = m_limit && draw(0, 2) == 0;
        const auto before = m_limit;
        m_limit = ends ? std::nullopt : std::optional(0.1 * static_cast<double>(draw(0, 60)));
        const bool rises = before && m_limit && *m_limit >= *before;
        if (rises)
            return;
        // A lower limit binds only entries that have received it.
        m_loweredAt = m_now;
        for (Entry &entry : m_entries)
            entry.receivedAt.reset();
    }

    void step(Entry &entry)
    {
        const auto number = static_cast<std::size_t>(&entry - m_entries.data());
        injectFault(entry);
        if (m_now < entry.pausedUntil)
            return;
        receive(entry);
        share(entry, number);
        for (int i = 0; i < 2 && entry.terms.admits(m_now); ++i)
            send(entry, number);
        if (m_now >= entry.nextMessage)
            sendReport(entry, number);
    }

    void injectFault(Entry &entry)
    {
        constexpr seconds recoveryTime{5};
        const std::int64_t kind = draw(0, 1500);
        if (kind > 2)
            return;
        const Duration length = milliseconds(draw(200, 4000));
        if (kind == 0)
            entry.pausedUntil = m_now + length;
        if (kind == 1)
            entry.partitionedUntil = m_now + length;
        if (kind == 2) {
            const std::uint64_t incarnation = entry.incarnation + 100;
            entry = Entry{};
            entry.incarnation = incarnation;
            entry.startedAt = m_now;
        }
        entry.uncheckedUntil = m_now + length + recoveryTime;
    }

    void receive(Entry &entry)
    {
        std::ranges::stable_sort(entry.answers, {}, &Answer::at);
        while (!entry.answers.empty() && entry.answers.front().at <= m_now) {
            const Answer answer = entry.answers.front();
            entry.answers.erase(entry.answers.begin());
            entry.terms.handleStatement(answer.statement, answer.sentAt, m_now);
            const auto &stated = answer.statement.limitPerSecond;
            if (stated && m_limit && *stated <= *m_limit && !entry.receivedAt)
                entry.receivedAt = m_now;
        }
        const auto due = std::ranges::partition(
            entry.inbox, [this](const Message &each) { return each.at > m_now; });
        for (const Message &message : due)
            handleReport(entry.peers[message.from], message);
        entry.inbox.erase(due.begin(), due.end());
        std::vector<ReceivedTerms> reports;
        for (const auto &[from, peer] : entry.peers)
            if (peer.terms && m_now - peer.receivedAt < UpstreamTerms::window)
                reports.push_back({*peer.terms, peer.incarnation, peer.receivedAt});
        entry.terms.setReports(std::move(reports));
    }

    void handleReport(Peer &peer, const Message &message) const
    {
        if (peer.incarnation == message.incarnation && message.sequence <= peer.sequence)
            return;
        if (message.incarnation < peer.incarnation)
            return;
        peer = {message.incarnation, message.sequence, m_now, message.terms};
    }

    void share(Entry &entry, std::size_t number) const
    {
        constexpr seconds reportTimeout{1};
        constexpr seconds startupDelay{2};
        const auto limit = entry.terms.limitPerSecond();
        if (!limit)
            return;
        std::vector<std::string> serving;
        if (m_now - entry.startedAt > startupDelay)
            serving.push_back(m_names[number]);
        std::size_t reachable = 1;
        for (const auto &[from, peer] : entry.peers) {
            if (m_now - peer.receivedAt >= reportTimeout)
                continue;
            serving.push_back(m_names[from]);
            ++reachable;
        }
        const double part = static_cast<double>(reachable) / static_cast<double>(m_entries.size());
        entry.terms.setShare(
            limitShare(upstreamUnderTest, std::max(*limit, 0.2), {m_names[number], serving, part}));
    }

    void send(Entry &entry, std::size_t number)
    {
        entry.terms.countSend(m_now);
        const TimePoint at = m_now + milliseconds(draw(0, 9) == 0 ? draw(0, 300) : 5);
        m_arrivals.push_back({at, number});
        const TimePoint respondedAt = at + milliseconds(draw(30, 600));
        entry.answers.push_back({respondedAt, m_now, {m_limit, false, {}, false}});
        check(at, entry);
    }

    /// Checks the platform's rule for a request that arrives at `at`.
    void check(TimePoint at, const Entry &from)
    {
        constexpr seconds stableBound{3};
        constexpr seconds limitWindow{4};
        const auto isBound = [at](const Entry &entry) {
            return entry.receivedAt && *entry.receivedAt + milliseconds(500) <= at
                   && at >= entry.uncheckedUntil;
        };
        if (!m_limit || at < m_loweredAt + stableBound || !isBound(from))
            return;
        const auto counts = [&](const Arrival &each) {
            return isBound(m_entries[each.entry]) && each.at <= at && at - each.at < limitWindow;
        };
        const auto arrived = static_cast<double>(std::ranges::count_if(m_arrivals, counts));
        const double allowed = 1.5 * *m_limit * static_cast<double>(limitWindow.count()) + 5;
        m_limitExceeded = m_limitExceeded || arrived > allowed;
        while (!m_arrivals.empty() && at - m_arrivals.front().at > seconds(30))
            m_arrivals.pop_front();
    }

    void sendReport(Entry &entry, std::size_t number)
    {
        entry.nextMessage = m_now + milliseconds(draw(20, 250));
        const Message message{m_now, number, entry.incarnation, ++entry.sequence,
                              entry.terms.report(upstreamUnderTest, m_now)};
        if (m_now < entry.partitionedUntil)
            return;
        for (Entry &other : m_entries) {
            if (&other == &entry)
                continue;
            for (std::int64_t copies = draw(0, 9) == 0 ? draw(0, 2) : 1; copies > 0; --copies) {
                Message copy = message;
                copy.at += milliseconds(draw(0, 19) == 0 ? draw(50, 900) : draw(1, 10));
                other.inbox.push_back(copy);
            }
        }
    }

    std::mt19937_64 m_random;
    std::vector<Entry> m_entries;
    std::vector<std::string> m_names;
    TimePoint m_now{};
    std::optional<double> m_limit;
    TimePoint m_loweredAt{};
    std::deque<Arrival> m_arrivals;
    bool m_limitExceeded = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamTermsSuite)

BOOST_AUTO_TEST_CASE(noScheduleSendsMoreThanTheLimit)
{
    // An entry resumed after a pause with an old response without a limit, and reported that.
    BOOST_TEST(LimitSchedule(68417).staysWithinLimit());
    // The same with an old response that stated a higher limit.
    BOOST_TEST(LimitSchedule(77654).staysWithinLimit());
    constexpr std::uint64_t schedules = 10'000;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
        BOOST_REQUIRE_MESSAGE(LimitSchedule(seed).staysWithinLimit(), "seed " << seed);
}

BOOST_AUTO_TEST_CASE(laterStatementsDoNotRevokeLeaving)
{
    const TimePoint start{seconds(100)};
    UpstreamStatement leaves;
    leaves.leaving = true;
    UpstreamTerms terms;
    BOOST_TEST(terms.handleStatement(leaves, start, start).leaving);
    BOOST_TEST(!terms.handleStatement(leaves, start, start).any());
    BOOST_TEST(!terms.handleStatement({}, start + seconds(1), start + seconds(2)).any());
    BOOST_TEST(!terms.admits(start + seconds(2)));
    const auto report = terms.report(upstreamUnderTest, start + seconds(2));
    BOOST_REQUIRE(report);
    UpstreamTerms otherEntry;
    BOOST_TEST(otherEntry.setReports({{*report, 9, start}}).leaving);
    // Only the entry that received the statement reports it, and only for a limited time.
    BOOST_TEST(!otherEntry.report(upstreamUnderTest, start + seconds(2)));
    BOOST_TEST(!terms.report(upstreamUnderTest, start + seconds(6)));
    BOOST_TEST(!otherEntry.setReports({}).any());
    BOOST_TEST(!otherEntry.isOpen(start));
}

BOOST_AUTO_TEST_CASE(upstreamStaysClosedForTheStatedTimeUpToAMaximum)
{
    const TimePoint start{seconds(100)};
    const auto closedFor = [](Duration length) {
        UpstreamStatement statement;
        statement.closedFor = std::chrono::duration_cast<milliseconds>(length);
        return statement;
    };
    UpstreamTerms terms;
    BOOST_TEST(!terms.handleStatement(closedFor(seconds(0)), start, start).any());
    BOOST_TEST(terms.handleStatement(closedFor(seconds(3)), start, start).closed);
    // A shorter time, or a response without a statement, does not reopen it earlier.
    BOOST_TEST(!terms.handleStatement(closedFor(seconds(1)), start, start + seconds(1)).closed);
    terms.handleStatement({}, start, start + seconds(1));
    BOOST_TEST(!terms.admits(start + milliseconds(2999)));
    BOOST_TEST(terms.admits(start + seconds(3)));
    // The statement applies to this entry only, so it is not reported to the others.
    BOOST_TEST(!terms.report(upstreamUnderTest, start));
    terms.handleStatement(closedFor(std::chrono::hours(9)), start, start);
    BOOST_TEST(terms.admits(start + UpstreamTerms::longestClosed));
}

// With 1.4 requests per second, equal shares would be 0.35 for 4 entries and 0.014 for 103.
BOOST_AUTO_TEST_CASE(limitIsDividedIntoSharesOfUsableSize)
{
    for (const std::size_t count : {1U, 4U, 27U, 103U}) {
        const auto names = entryNames(count);
        for (const double limit : {0.2, 1.4, 3.9, 40.0}) {
            double sum = 0;
            std::size_t holders = 0;
            for (const std::string &name : names) {
                const double share = limitShare(upstreamUnderTest, limit, {name, names, 1});
                sum += share;
                holders += share > 0 ? 1 : 0;
            }
            BOOST_TEST(std::abs(sum - limit) < 1e-9);
            BOOST_TEST(static_cast<double>(holders) <= limit / smallestShare + 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(limitShareScalesWithReachableFraction)
{
    const auto names = entryNames(4);
    const std::vector<std::string> alone{names[2]};
    BOOST_TEST(limitShare(upstreamUnderTest, 1.4, {names[2], alone, 0.25}) == 0.35);
    // An entry that takes no requests has no share.
    BOOST_TEST(limitShare(upstreamUnderTest, 1.4, {names[0], alone, 1}) == 0);
}

BOOST_AUTO_TEST_CASE(onlyResponsesToLaterRequestsEndALimit)
{
    const TimePoint start{seconds(100)};
    const auto at = [start](int ms) { return start + milliseconds(ms); };
    UpstreamTerms terms;
    BOOST_TEST(!terms.handleStatement({}, at(0), at(10)).limit);
    BOOST_TEST(terms.handleStatement({3.9}, at(0), at(20)).limit);
    BOOST_TEST(!terms.handleStatement({3.9}, at(5), at(30)).limit);
    // Already in transit when the limit was received.
    BOOST_TEST(!terms.handleStatement({}, at(25), at(40)).limit);
    BOOST_TEST(*terms.limitPerSecond() == 3.9);
    // A malformed statement neither states a limit nor ends one.
    BOOST_TEST(!terms.handleStatement({std::nullopt, false, {}, true}, at(50), at(60)).limit);
    BOOST_TEST(terms.handleStatement({}, at(50), at(60)).limit);
    BOOST_TEST(!terms.isLimited());
    BOOST_TEST(terms.report(upstreamUnderTest, at(60))->limit->sentAge.count() == 10);
    BOOST_TEST(terms.admits(at(60)));
}

BOOST_AUTO_TEST_CASE(newestReportedLimitApplies)
{
    const TimePoint start{seconds(100)};
    UpstreamTerms terms;
    BOOST_TEST(terms.handleStatement({2.0}, start, start).limit);
    BOOST_TEST(terms.report(upstreamUnderTest, start)->limit.has_value());
    const auto reported = [&](std::optional<double> limit, int ageMs, int atMs) {
        return ReceivedTerms{{upstreamUnderTest,
                              LimitReport{limit, milliseconds(ageMs), milliseconds(ageMs)}, false,
                              0},
                             9,
                             start + milliseconds(atMs)};
    };
    BOOST_TEST(!terms.setReports({reported(5.0, 600, 500)}).limit);
    BOOST_TEST(terms.setReports({reported(std::nullopt, 100, 500)}).limit);
    BOOST_TEST(!terms.isLimited());
    // This persists when the other entry becomes unresponsive, and is not reported by this entry.
    BOOST_TEST(!terms.setReports({}).limit);
    BOOST_TEST(!terms.isLimited());
    BOOST_TEST(!terms.report(upstreamUnderTest, start + seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
