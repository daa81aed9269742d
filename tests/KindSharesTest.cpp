#include "serving/KindShares.h"

#include <cmath>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

constexpr TierRank summary = 0;
constexpr TierRank question = 1;
constexpr TierRank guidance = 2;

struct Fixture
{
    /// Records `arrivals` requests of a kind over the last second, the first `starts` of which
    /// start.
    void recordRequests(TierRank kind, int arrivals, int starts,
                        Duration engineTime = milliseconds(300))
    {
        for (int i = 0; i < arrivals; ++i) {
            const TimePoint at = now - seconds(1) + seconds(1) * i / arrivals;
            shares.countArrival(kind, engineTime, at);
            if (i < starts)
                shares.countStart(kind, at);
        }
    }

    KindShares shares;
    TimePoint now{seconds(1000)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(KindSharesSuite, Fixture)

BOOST_AUTO_TEST_CASE(kindNearTheServiceShareHasNoDeficit)
{
    recordRequests(summary, 100, 60);
    recordRequests(guidance, 100, 50);
    BOOST_TEST(shares.startDeficit(summary, now) == 0);
    BOOST_TEST(shares.startDeficit(guidance, now) == 0);
    BOOST_TEST(shares.startDeficit(7, now) == 0);
}

BOOST_AUTO_TEST_CASE(donorIsTheLeastUrgentKindAboveItsGuaranteedShare)
{
    recordRequests(summary, 100, 100);
    recordRequests(question, 100, 40);
    recordRequests(guidance, 100, 0);
    BOOST_TEST(shares.startDeficit(guidance, now) > 0);
    BOOST_TEST(shares.donor(guidance, now) == question);
}

BOOST_AUTO_TEST_CASE(kindWithoutSurplusIsNoDonor)
{
    recordRequests(summary, 100, 100);
    recordRequests(question, 100, 1);
    recordRequests(guidance, 100, 0);
    BOOST_TEST(shares.donor(guidance, now) == summary);
    BOOST_TEST(shares.donor(question, now) == summary);
}

BOOST_AUTO_TEST_CASE(lessUrgentKindIsNoDonor)
{
    recordRequests(summary, 100, 0);
    recordRequests(guidance, 100, 100);
    BOOST_TEST(shares.startDeficit(summary, now) > 0);
    BOOST_TEST(shares.donor(summary, now) == summary);
}

BOOST_AUTO_TEST_CASE(priorityStaysStrictAfterASecondWithoutStarts)
{
    for (int second = 20; second > 0; --second) {
        now -= seconds(second);
        recordRequests(summary, 10, 10);
        recordRequests(guidance, 10, 10);
        now += seconds(second);
    }
    recordRequests(summary, 10, 10);
    recordRequests(guidance, 10, 0);
    BOOST_TEST(shares.startDeficit(guidance, now) == 0);
}

BOOST_AUTO_TEST_CASE(shortKindIsGuaranteedTheFullShareUpToThatOfMoreUrgentKinds)
{
    recordRequests(summary, 100, 90, milliseconds(1800));
    recordRequests(question, 100, 50, milliseconds(1800));
    recordRequests(guidance, 100, 20, milliseconds(200));
    BOOST_TEST(shares.guaranteedShare(guidance, now) == 1);
    const double deficit = shares.startDeficit(guidance, now);
    BOOST_TEST(deficit > 25);
    BOOST_TEST(deficit < 31);
}

BOOST_AUTO_TEST_CASE(kindOfHalfTheEngineTimeIsGuaranteedTheMinimumShare)
{
    recordRequests(summary, 100, 100, milliseconds(400));
    recordRequests(question, 100, 10, milliseconds(200));
    BOOST_TEST(std::abs(shares.guaranteedShare(question, now) - 1.0 / 3) < 1e-9);
}

BOOST_AUTO_TEST_SUITE_END()
