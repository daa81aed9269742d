#include "process/Timers.h"
#include "support/LoadedFleet.h"

#include <algorithm>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;
using tamarack::harness::LoadedFleet;
using tamarack::harness::maxWithin;

namespace {

/// The platform's bounds: from `stableBound` after a limit was first stated, at most `limitRatio`
/// times the limit plus `limitSlack` requests may arrive within any `limitWindow`.
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

BOOST_FIXTURE_TEST_SUITE(UpstreamStatementsSuite, LoadedFleet)

// Guards against incident LIMIT: entries ignored the limit that an upstream had stated.
BOOST_AUTO_TEST_CASE(upstreamReceivesAtMostItsStatedLimit)
{
    constexpr double limit = 2;
    std::this_thread::sleep_for(seconds(2));
    const TimePoint limitStatedAt = steadyNow();
    upstream(0).limitPerSecond = limit;
    const int sentBefore = sent();
    const int servedBefore = served();
    std::this_thread::sleep_for(seconds(12));

    const double allowed = limitRatio * limit * limitWindow.count() + limitSlack;
    const std::vector<TimePoint> times = arrivals(0);
    BOOST_TEST(maxWithin(times, limitWindow, limitStatedAt + stableBound) <= allowed);
    // The remaining capacity of the upstream is used, and the other one serves the rest.
    const auto late = static_cast<double>(arrivalsFrom(times, limitStatedAt + seconds(8)));
    BOOST_TEST(late >= limit * limitWindow.count() / 2);
    BOOST_TEST(served() - servedBefore >= 0.9 * (sent() - sentBefore));
}

// Guards against sending new requests to an upstream that has stated that it is leaving, while the
// store does not list it as draining yet.
BOOST_AUTO_TEST_CASE(leavingUpstreamReceivesNoNewRequests)
{
    constexpr seconds drainBound{2};
    std::this_thread::sleep_for(seconds(1));
    upstream(0).leaving = true;
    const TimePoint statedAt = steadyNow();
    std::this_thread::sleep_for(drainBound);
    // A later response without the header does not revoke that it is leaving.
    upstream(0).leaving = false;
    const int sentBefore = sent();
    const int servedBefore = served();
    std::this_thread::sleep_for(seconds(2));
    BOOST_TEST(arrivalsFrom(arrivals(0), statedAt + drainBound) == 0);
    BOOST_TEST(served() - servedBefore >= 0.9 * (sent() - sentBefore));
}

// Guards against incident DRAIN: an upstream restarts under its id, states that it is leaving, and
// the store lists its new incarnation only afterwards.
BOOST_AUTO_TEST_CASE(leavingUpstreamReceivesNoRequestsWhenItsRestartIsListedLate)
{
    constexpr seconds drainBound{2};
    constexpr std::uint64_t secondIncarnation = 100;
    std::this_thread::sleep_for(seconds(1));
    upstream(0).leaving = true;
    const TimePoint statedAt = steadyNow();
    std::this_thread::sleep_for(drainBound + seconds(1));
    listIncarnation(0, secondIncarnation);
    std::this_thread::sleep_for(seconds(2));
    BOOST_TEST(arrivalsFrom(arrivals(0), statedAt + drainBound) == 0);
    // A third incarnation is not leaving and serves again.
    upstream(0).leaving = false;
    const TimePoint restartedAt = steadyNow();
    listIncarnation(0, secondIncarnation + 1);
    std::this_thread::sleep_for(seconds(3));
    BOOST_TEST(arrivalsFrom(arrivals(0), restartedAt) > 0);
}

// Guards against retrying at once at an upstream that refused requests for a stated time.
BOOST_AUTO_TEST_CASE(closedUpstreamIsNotRetriedBeforeItReopens)
{
    constexpr double closedForSeconds = 3;
    constexpr std::size_t mostOfEntry = 2;
    std::this_thread::sleep_for(seconds(1));
    upstream(0).closedForSeconds = closedForSeconds;
    const TimePoint closedAt = steadyNow();
    std::this_thread::sleep_until(closedAt + milliseconds(700));
    const std::size_t receivedBefore = upstream(0).receivedRequests().size();
    const int sentBefore = sent();
    const int servedBefore = served();
    std::this_thread::sleep_until(closedAt + milliseconds(2900));
    BOOST_TEST(upstream(0).receivedRequests().size() - receivedBefore <= mostOfEntry * entryCount);
    BOOST_TEST(served() - servedBefore >= 0.9 * (sent() - sentBefore));
    // The stated time is over: it accepts requests again.
    upstream(0).closedForSeconds = 0;
    std::this_thread::sleep_until(closedAt + milliseconds(4500));
    BOOST_TEST(arrivalsFrom(arrivals(0), closedAt + seconds(3)) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
