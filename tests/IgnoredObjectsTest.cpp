#include "fleet/IgnoredObjects.h"

#include <string>

#include <boost/test/unit_test.hpp>

using namespace tamarack;

BOOST_AUTO_TEST_SUITE(IgnoredObjectsSuite)

BOOST_AUTO_TEST_CASE(eachRevisionIsNewOnce)
{
    IgnoredObjects ignored;
    BOOST_TEST(ignored.add("a", 1));
    BOOST_TEST(!ignored.add("a", 1));
    BOOST_TEST(ignored.add("a", 2));
    BOOST_TEST(ignored.add("b", 2));
    BOOST_TEST(ignored.size() == 2U);
    ignored.remove("a");
    BOOST_TEST(ignored.size() == 1U);
    BOOST_TEST(ignored.add("a", 2));
    ignored.clear();
    BOOST_TEST(ignored.size() == 0U);
}

BOOST_AUTO_TEST_CASE(listingForgetsObjectsThatAreGone)
{
    IgnoredObjects ignored;
    ignored.add("a", 1);
    ignored.add("b", 1);
    ignored.beginListing();
    BOOST_TEST(!ignored.add("b", 1));
    BOOST_TEST(ignored.add("c", 2));
    ignored.endListing();
    BOOST_TEST(ignored.size() == 2U);
    BOOST_TEST(!ignored.add("b", 1));
    BOOST_TEST(ignored.add("a", 1));
}

BOOST_AUTO_TEST_CASE(anyNumberOfObjectsTakesBoundedMemory)
{
    IgnoredObjects ignored;
    for (std::size_t i = 0; i < 2 * IgnoredObjects::maxObjects; ++i)
        BOOST_TEST(ignored.add(std::to_string(i), 1) == (i < IgnoredObjects::maxObjects));
    BOOST_TEST(ignored.size() == IgnoredObjects::maxObjects);
    BOOST_TEST(ignored.add("0", 2));
    ignored.beginListing();
    ignored.endListing();
    BOOST_TEST(ignored.add("z", 1));
}

BOOST_AUTO_TEST_SUITE_END()
