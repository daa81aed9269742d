#include "fleet/FollowerElection.h"
#include "process/Timers.h"
#include "support/SmallFleet.h"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;

namespace {

/// An entry counts as undisturbed this long after a disruption of its path to the store.
constexpr seconds settledAfter{3};
constexpr int okStatus = 200;
/// After the store has accepted that an upstream leaves, requests may reach it for this long.
constexpr seconds drainBound{2};

/// Two entries; the first one loses its connections to the store.
struct EntryWithoutStore : SmallFleet
{
    EntryWithoutStore()
        : SmallFleet(2, 2)
    {
        // The change lets the watches begin anew.
        list(1, {.slots = 5});
        std::this_thread::sleep_for(milliseconds(400));
        silenceStoreConnections(0);
        silencedAt = steadyNow();
        std::this_thread::sleep_for(milliseconds(100));
    }

    /// Sends requests to the first entry from the time at which it counts as undisturbed. Returns
    /// how many reached upstream 0.
    std::size_t requestsAtLeavingUpstream()
    {
        std::this_thread::sleep_until(silencedAt + settledAfter);
        const std::size_t before = upstream(0).receivedRequests().size();
        for (const TimePoint end = steadyNow() + seconds(3); steadyNow() < end;) {
            const std::string answer = get(0, "/read/x", "q" + std::to_string(++lastRequest));
            BOOST_TEST(responseStatus(answer) == okStatus);
        }
        return upstream(0).receivedRequests().size() - before;
    }

    TimePoint silencedAt{};
    int lastRequest = 0;
};

/// Entries of which two follow the store for the others, until both lose it.
struct FleetWithoutFollowers : SmallFleet
{
    static constexpr std::size_t entryCount = 5;

    FleetWithoutFollowers()
        : SmallFleet(entryCount, 2)
    {
        std::vector<FleetMember> members;
        for (std::size_t i = 0; i < entryCount; ++i)
            members.push_back({entryName(i), "dc"});
        const auto followers = electFollowers(members, "dc");
        for (std::size_t i = 0; i < entryCount; ++i)
            if (std::ranges::find(followers, entryName(i)) == followers.end())
                others.push_back(i);
            else
                cutFromStore(i);
        std::this_thread::sleep_for(milliseconds(50));
    }

    /// Sends requests to the other entries from `drainBound` on. Returns how many reached
    /// upstream 0.
    std::size_t requestsAtLeavingUpstream()
    {
        std::this_thread::sleep_for(drainBound);
        const std::size_t before = upstream(0).receivedRequests().size();
        for (const TimePoint end = steadyNow() + seconds(3); steadyNow() < end;)
            for (const std::size_t i : others) {
                const std::string answer = get(i, "/read/x", "q" + std::to_string(++lastRequest));
                BOOST_TEST(responseStatus(answer) == okStatus);
            }
        return upstream(0).receivedRequests().size() - before;
    }

    std::vector<std::size_t> others;
    int lastRequest = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingUpstreamSuite, EntryWithoutStore)

BOOST_AUTO_TEST_CASE(drainingUpstreamGetsNoRequestsAfterTheWatchFellSilent)
{
    list(0, {.state = "draining"});
    BOOST_TEST(requestsAtLeavingUpstream() == 0U);
}

// The upstream leaves without a word; the other entry has the store all the while.
BOOST_AUTO_TEST_CASE(removedUpstreamGetsNoRequestsAfterOneEntryLostTheStore)
{
    unlist(0);
    BOOST_TEST(requestsAtLeavingUpstream() == 0U);
}

BOOST_FIXTURE_TEST_CASE(drainingUpstreamGetsNoRequestsAfterTheFollowersLostTheStore,
                        FleetWithoutFollowers)
{
    list(0, {.state = "draining"});
    BOOST_TEST(requestsAtLeavingUpstream() == 0U);
}

BOOST_FIXTURE_TEST_CASE(removedUpstreamGetsNoRequestsAfterTheFollowersLostTheStore,
                        FleetWithoutFollowers)
{
    unlist(0);
    BOOST_TEST(requestsAtLeavingUpstream() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
