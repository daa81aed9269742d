#include "orders/LoadPermits.h"
#include "store/QuarantineStore.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

const TimePoint start{seconds(1000)};

} // namespace

BOOST_AUTO_TEST_SUITE(LoadPermitsTest)

BOOST_AUTO_TEST_CASE(loadsAreLimitedToPermitCount)
{
    LoadPermits a({"a", 1});
    LoadPermits b({"b", 2});
    LoadPermits c({"c", 3});
    const auto one = a.acquire({}, 2, start);
    BOOST_REQUIRE(one);
    const auto two = b.acquire(*one, 2, start);
    BOOST_REQUIRE(two);
    BOOST_TEST(!c.acquire(*two, 2, start).has_value());
    const auto released = a.release(*two);
    BOOST_REQUIRE(released);
    BOOST_TEST(c.acquire(*released, 2, start).has_value());
    BOOST_TEST(!a.release(*released).has_value());
}

BOOST_AUTO_TEST_CASE(restartedProcessReplacesItsOlderIncarnation)
{
    LoadPermits again({"a", 9});
    const auto holders = again.acquire({{"a", 1}}, 1, start);
    BOOST_REQUIRE(holders);
    BOOST_TEST((holders->front() == LoadHolder{"a", 9}));
}

BOOST_AUTO_TEST_CASE(deadHolderIsRemovedOnlyAfterHoldBound)
{
    LoadPermits b({"b", 2}, seconds(60));
    const std::vector<LoadHolder> held{{"a", 1}};
    BOOST_TEST(!b.acquire(held, 1, start).has_value());
    BOOST_TEST(!b.acquire(held, 1, start + seconds(59)).has_value());
    BOOST_TEST(b.acquire(held, 1, start + seconds(61)).has_value());
}

BOOST_AUTO_TEST_CASE(objectsRoundTripAndInvalidOnesAreRejected)
{
    const std::vector<LoadHolder> holders{{"a", 1}, {"b", 2}};
    BOOST_TEST((*parseLoadHolders(encodeLoadHolders(holders)) == holders));
    BOOST_TEST(parseLoadHolders("")->empty());
    BOOST_TEST(!parseLoadHolders("{").has_value());
    BOOST_TEST(!parseLoadHolders(R"({"holders":[{"name":"a"}]})").has_value());
    const std::vector<FingerprintReport> rows{{1, 2, false}, {3, 4, true}};
    BOOST_TEST((*decodeFingerprintReports(encodeFingerprintReports(rows)) == rows));
    BOOST_TEST(!decodeFingerprintReports(R"({"rows":[{"fingerprint":"1"}]})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
