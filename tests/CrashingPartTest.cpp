#include "process/Timers.h"
#include "support/LoadedFleet.h"

#include <algorithm>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;
using tamarack::harness::LoadedFleet;

namespace {

constexpr std::size_t upstreamCount = 8;
/// The platform's bounds: from `stableBound` after the fifth crash, at most `mostAfterwards`
/// requests with the part may reach upstreams.
constexpr seconds stableBound{3};
constexpr std::size_t crashBound = 5;
constexpr std::size_t mostAfterwards = 3;

struct Fixture : LoadedFleet
{
    Fixture()
        : LoadedFleet(upstreamCount)
    {}

    /// Share of the sound requests of the next seconds that succeed.
    double servedShare(seconds length)
    {
        const int sentBefore = sent();
        const int servedBefore = served();
        std::this_thread::sleep_for(length);
        return static_cast<double>(served() - servedBefore) / (sent() - sentBefore);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingPartSuite, Fixture)

// Guards against incident BUDGET: requests that differ in all but one part of their prompts crashed
// one upstream after the other.
BOOST_AUTO_TEST_CASE(crashingPromptPartIsQuarantinedWhileSoundRequestsAreServed)
{
    sendCrashingRequests(milliseconds(400));
    std::this_thread::sleep_for(seconds(6));
    BOOST_REQUIRE(crashes().size() >= 3);
    const double share = servedShare(seconds(8));
    const std::vector<TimePoint> times = crashes();
    if (times.size() > crashBound) {
        const TimePoint bound = times.at(crashBound - 1) + stableBound;
        const auto later =
            std::ranges::count_if(times, [bound](TimePoint at) { return at > bound; });
        BOOST_TEST(static_cast<std::size_t>(later) <= mostAfterwards);
    }
    BOOST_TEST(share >= 0.9);
}

// Upstreams also crash together for reasons of their own, three times within seconds: the part
// that all requests share is not quarantined.
BOOST_AUTO_TEST_CASE(commonPromptPartIsServedAfterAllUpstreamsCrashTogether)
{
    std::this_thread::sleep_for(seconds(1));
    for (int i = 0; i < 3; ++i) {
        crashAll();
        std::this_thread::sleep_for(seconds(3));
    }
    BOOST_TEST(servedShare(seconds(2)) >= 0.9);
}

BOOST_AUTO_TEST_SUITE_END()
