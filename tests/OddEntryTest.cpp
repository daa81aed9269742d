#include "support/SmallFleet.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::SmallFleet;

namespace {

/// An entry with this field beside those of a sound one.
std::string withField(const std::string &field)
{
    return R"({"service":"models","address":"127.0.0.1:9","state":"ready","slots":4,)" + field
           + "}";
}

std::string nested(std::size_t depth)
{
    return withField(R"("odd":)" + std::string(depth, '[') + std::string(depth, ']'));
}

/// What other writers may leave among the entries of the upstreams.
std::vector<std::string> oddEntries()
{
    return {
        nested(40),
        nested(100'000),
        withField(R"("slots":1e999)"),
        withField(R"("born":)" + std::string(400, '9')),
        withField("\"zone\":\"\xff\xfe\x80\""),
        R"({"service":"models","address":"127.0.0.1:99999","state":"ready","slots":4})",
        R"({"service":7,"address":[],"state":{},"slots":"four"})",
        "nonsense",
        R"("text")",
        "null",
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddEntrySuite)

BOOST_AUTO_TEST_CASE(runningEntryFollowsTheListDespiteOddEntries)
{
    SmallFleet fleet(1, 2);
    std::size_t next = 0;
    for (const std::string &odd : oddEntries()) {
        next = 1 - next;
        fleet.listOdd(odd);
        BOOST_TEST(fleet.entryFollowsList(0, 1 - next, next), odd.substr(0, 100));
    }
}

BOOST_AUTO_TEST_CASE(startingEntryFollowsTheListDespiteOddEntries)
{
    SmallFleet fleet(0, 2);
    for (const std::string &odd : oddEntries())
        fleet.listOdd(odd);
    const std::size_t entry = fleet.startEntry();
    BOOST_TEST(fleet.entryFollowsList(entry, 0, 1));
}

BOOST_AUTO_TEST_SUITE_END()
