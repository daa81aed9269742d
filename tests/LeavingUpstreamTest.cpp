#include "process/Timers.h"
#include "support/SmallFleet.h"

#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;

namespace {

/// An entry counts as undisturbed this long after a disruption of its path to the store.
constexpr seconds settledAfter{3};
constexpr int okStatus = 200;

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

BOOST_AUTO_TEST_SUITE_END()
