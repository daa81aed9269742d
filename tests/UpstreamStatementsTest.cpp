#include "process/Timers.h"
#include "support/StatingFleet.h"

#include <algorithm>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;
using tamarack::harness::mostWithin;
using tamarack::harness::StatingFleet;

namespace {

/// The platform's bounds: a limit holds from `stableBound` after it was first named, over any
/// `limitWindow`, with half as much again and a slack.
constexpr seconds stableBound{3};
constexpr seconds limitWindow{4};
constexpr double limitRatio = 1.5;
constexpr double limitSlack = 5;

std::size_t arrivalsFrom(const std::vector<TimePoint> &times, TimePoint from)
{
    const auto first = std::ranges::lower_bound(times, from);
    return static_cast<std::size_t>(std::distance(first, times.end()));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamStatementsSuite, StatingFleet)

// Incident LIMIT: upstreams that had named a limit were sent as much as before.
BOOST_AUTO_TEST_CASE(anUpstreamGetsNoMoreThanTheLimitThatItNames)
{
    constexpr double limit = 2;
    std::this_thread::sleep_for(seconds(2));
    const TimePoint namedAt = steadyNow();
    upstream(0).limitPerSecond = limit;
    const int askedBefore = asked();
    const int servedBefore = served();
    std::this_thread::sleep_for(seconds(12));

    const double allowed = limitRatio * limit * limitWindow.count() + limitSlack;
    const std::vector<TimePoint> times = arrivals(0);
    BOOST_TEST(mostWithin(times, limitWindow, namedAt + stableBound) <= allowed);
    // What the upstream still takes is used, and the other one serves the rest.
    const auto late = static_cast<double>(arrivalsFrom(times, namedAt + seconds(8)));
    BOOST_TEST(late >= limit * limitWindow.count() / 2);
    BOOST_TEST(served() - servedBefore >= 0.9 * (asked() - askedBefore));
}

// An upstream that said in its answers that it leaves got new requests until the store listed it as
// draining.
BOOST_AUTO_TEST_CASE(anUpstreamThatSaysThatItLeavesGetsNothingNew)
{
    constexpr seconds drainBound{2};
    std::this_thread::sleep_for(seconds(1));
    upstream(0).leaving = true;
    const TimePoint saidAt = steadyNow();
    std::this_thread::sleep_for(drainBound);
    // An answer without the word does not bring it back.
    upstream(0).leaving = false;
    const int askedBefore = asked();
    const int servedBefore = served();
    std::this_thread::sleep_for(seconds(2));
    BOOST_TEST(arrivalsFrom(arrivals(0), saidAt + drainBound) == 0);
    BOOST_TEST(served() - servedBefore >= 0.9 * (asked() - askedBefore));
}

// An upstream that turned requests away until later was asked again at once.
BOOST_AUTO_TEST_CASE(anUpstreamThatWantsNothingForAWhileIsLeftAlone)
{
    constexpr double closedForSeconds = 3;
    constexpr std::size_t mostOfEntry = 2;
    std::this_thread::sleep_for(seconds(1));
    upstream(0).closedForSeconds = closedForSeconds;
    const TimePoint closedAt = steadyNow();
    std::this_thread::sleep_until(closedAt + milliseconds(700));
    const std::size_t seenBefore = upstream(0).receivedRequests().size();
    const int askedBefore = asked();
    const int servedBefore = served();
    std::this_thread::sleep_until(closedAt + milliseconds(2900));
    BOOST_TEST(upstream(0).receivedRequests().size() - seenBefore <= mostOfEntry * entryCount);
    BOOST_TEST(served() - servedBefore >= 0.9 * (asked() - askedBefore));
    // The time is over: it takes requests again.
    upstream(0).closedForSeconds = 0;
    std::this_thread::sleep_until(closedAt + milliseconds(4500));
    BOOST_TEST(arrivalsFrom(arrivals(0), closedAt + seconds(3)) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
