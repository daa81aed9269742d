#include "serving/PeerRegistry.h"
#include "serving/RetryBudget.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

constexpr std::string_view service = "models";
constexpr std::size_t entryCount = 6;
const RetryBounds bounds{0.2, seconds(10), 60};

/// Entries that share one retry budget, seen from the upstreams: requests arrive at entries at a
/// steady rate, fail, and are retried as often as the budget allows.
class FleetSimulation
{
public:
    explicit FleetSimulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < entryCount; ++i)
            m_entries.emplace_back(nameOf(i), m_now);
    }

    /// Runs the fleet; each step one request arrives at each entry, and each is retried `retries`
    /// times if the budget allows.
    void run(Duration length, int retries)
    {
        for (const TimePoint end = m_now + length; m_now < end; m_now += step) {
            exchangeReports();
            for (Entry &entry : m_entries) {
                entry.update(m_now);
                serve(entry, retries);
            }
        }
    }

    void setCut(bool cut) { m_cut = cut; }
    /// Retries wait in the queue until this time.
    void holdUntil(Duration delay) { m_heldUntil = m_now + delay; }

    void restart(std::size_t number) { m_entries.at(number) = Entry(nameOf(number), m_now); }

    std::size_t randomEntry()
    {
        return std::uniform_int_distribution<std::size_t>(0, entryCount - 1)(m_random);
    }

    /// Largest excess of the retries that arrived in any window over those allowed. The requests
    /// counted are those of the window, of the one before, or of the one half a window earlier.
    double worstExcess() const
    {
        double worst = -1e9;
        for (const TimePoint begin : m_arrivals) {
            const auto requestsFrom = [this](TimePoint from) {
                return countIn(m_requests, from, from + bounds.window);
            };
            const auto requests =
                std::max({requestsFrom(begin), requestsFrom(begin - bounds.window),
                          requestsFrom(begin - bounds.window / 2)});
            const auto arrived = countIn(m_arrivals, begin, begin + bounds.window);
            worst = std::max(worst,
                             static_cast<double>(arrived)
                                 - (bounds.ratio * static_cast<double>(requests) + bounds.slack));
        }
        return worst;
    }

private:
    static constexpr milliseconds step{50};

    struct Entry
    {
        Entry(const std::string &entryName, TimePoint startedAt)
            : name(entryName)
            , peers(entryName)
            , budget(bounds, startedAt)
        {
            std::set<std::string> names;
            for (std::size_t i = 0; i < entryCount; ++i)
                names.insert(nameOf(i));
            peers.setKnown(names);
        }

        void update(TimePoint now) { budget.setEntries(peers.servingCount(now), now); }

        std::string name;
        PeerRegistry peers;
        RetryBudget budget;
        int waiting = 0;
    };

    static std::string nameOf(std::size_t number) { return "entry-" + std::to_string(number); }

    void exchangeReports()
    {
        ++m_sequence;
        if (m_cut)
            return;
        for (Entry &to : m_entries) {
            for (const Entry &from : m_entries) {
                EntryLoad load;
                load.name = from.name;
                load.sequence = m_sequence;
                to.peers.handleReport(load, m_now);
            }
        }
    }

    void serve(Entry &entry, int retries)
    {
        m_requests.push_back(m_now);
        entry.budget.countRequest(service, m_now);
        for (int i = 0; i < retries; ++i)
            entry.waiting += entry.budget.tryReserve(service, m_now) ? 1 : 0;
        for (; m_now >= m_heldUntil && entry.waiting > 0; --entry.waiting) {
            entry.budget.spend(service, m_now);
            m_arrivals.push_back(m_now);
        }
    }

    template <typename Times>
    static std::size_t countIn(const Times &times, TimePoint from, TimePoint to)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            times, [from, to](TimePoint time) { return time >= from && time < to; }));
    }

    std::mt19937_64 m_random;
    TimePoint m_now{seconds(1000)};
    std::vector<Entry> m_entries;
    std::vector<TimePoint> m_requests;
    std::vector<TimePoint> m_arrivals;
    TimePoint m_heldUntil{};
    std::uint64_t m_sequence = 0;
    bool m_cut = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetFleetSuite)

BOOST_AUTO_TEST_CASE(retriesStayWithinTheBudgetWhileEntriesAreCutFromEachOther)
{
    FleetSimulation fleet(1);
    fleet.run(seconds(12), 0);
    fleet.setCut(true);
    fleet.run(seconds(2), 0);
    fleet.run(seconds(10), 3);
    fleet.setCut(false);
    fleet.run(seconds(10), 3);
    BOOST_TEST(fleet.worstExcess() <= 0);
}

BOOST_AUTO_TEST_CASE(retriesStayWithinTheBudgetWhenEntriesRestart)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetSimulation fleet(seed);
        fleet.run(seconds(12), 0);
        for (int i = 0; i < 8; ++i) {
            fleet.run(milliseconds(1500), 3);
            fleet.restart(fleet.randomEntry());
            fleet.restart(fleet.randomEntry());
        }
        fleet.run(seconds(10), 3);
        BOOST_TEST(fleet.worstExcess() <= 0, "seed " << seed << ": excess " << fleet.worstExcess());
    }
}

BOOST_AUTO_TEST_CASE(burstsOfRetriesAtBothEndsOfAWindowStayWithinTheBudget)
{
    FleetSimulation fleet(1);
    fleet.run(seconds(12), 0);
    fleet.run(milliseconds(900), 8);
    fleet.run(milliseconds(8200), 0);
    fleet.run(seconds(4), 8);
    BOOST_TEST(fleet.worstExcess() <= 0, "excess " << fleet.worstExcess());
}

// Retries that wait in the queue arrive together with those decided later.
BOOST_AUTO_TEST_CASE(retriesThatWaitedCountWhenTheyArrive)
{
    FleetSimulation fleet(1);
    fleet.run(seconds(12), 0);
    fleet.holdUntil(seconds(6));
    fleet.run(seconds(20), 8);
    BOOST_TEST(fleet.worstExcess() <= 0, "excess " << fleet.worstExcess());
}

BOOST_AUTO_TEST_SUITE_END()
