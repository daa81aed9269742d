#include "serving/UpstreamListAge.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

constexpr BootTime start = seconds(100);
constexpr milliseconds maxAge{3000};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamListAgeSuite)

BOOST_AUTO_TEST_CASE(listIsCurrentUntilItsLastConfirmationIsTooOld)
{
    UpstreamListAge age(maxAge);
    BOOST_TEST(!age.isCurrent(start));
    age.recordConfirmed(start);
    age.recordConfirmed(start - seconds(1));
    BOOST_TEST(age.isCurrent(start + maxAge));
    BOOST_TEST(!age.isCurrent(start + maxAge + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(processThatStoodStillNeedsANewConfirmation)
{
    UpstreamListAge age(maxAge);
    age.recordTick(start);
    age.recordConfirmed(start);
    // The process runs again, but has not noticed yet.
    const BootTime resumed = start + milliseconds(1500);
    BOOST_TEST(!age.isCurrent(resumed));
    age.recordTick(resumed);
    BOOST_TEST(!age.isCurrent(resumed));
    // A response from before.
    age.recordConfirmed(start + milliseconds(200));
    BOOST_TEST(!age.isCurrent(resumed));
    age.recordConfirmed(resumed);
    BOOST_TEST(age.isCurrent(resumed));
    age.recordTick(resumed + milliseconds(100));
    BOOST_TEST(age.isCurrent(resumed + milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()
