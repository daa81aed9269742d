#include "model/LoopbackListener.h"
#include "platform/UpstreamDecoder.h"
#include "support/Eventually.h"
#include "support/SmallFleet.h"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::SmallFleet;
using namespace std::string_literals;
namespace json = boost::json;

namespace {

/// Names that no header carries to its reader as they are.
std::vector<std::string> uncarriedNames()
{
    return {"",
            "a\r\nX-Injected: 1",
            "a\nX-Injected: 1",
            "a\0b"s,
            "a\x1b[0m",
            "a\x7f",
            " a",
            "a ",
            "\ta",
            "a\t",
            "a\xff",
            std::string(20'000, 'a'),
            std::string(70'000, 'a')};
}

/// Unusual names that a header carries.
std::vector<std::string> carriedNames()
{
    return {"i-7f3a91c2", "two words",           "a\tb", "caf\u00e9", "a:b,c;d=\"e\"",
            "%0d%0a",     std::string(1024, 'a')};
}

std::string shown(const std::string &name)
{
    return "name " + json::serialize(json::string(name.substr(0, 40)));
}

Result<UpstreamRecord> decodedUpstream(const std::string &id)
{
    return platform::decodeUpstream(
        id, json::parse(R"({"service":"s","address":"10.0.0.9:80","slots":6,"state":"ready"})"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamHeadersSuite)

BOOST_AUTO_TEST_CASE(entryWhoseIdNoHeaderCarriesNamesNoUpstream)
{
    for (const std::string &id : uncarriedNames()) {
        const auto record = decodedUpstream(id);
        BOOST_TEST(!record, shown(id));
        if (!record)
            BOOST_TEST(record.error().message.find(" id ") != std::string::npos);
    }
    for (const std::string &id : carriedNames())
        BOOST_TEST(decodedUpstream(id).has_value(), shown(id));
}

BOOST_AUTO_TEST_CASE(idOfAnEntryAddsNoHeaderToRequests)
{
    SmallFleet fleet(1, 1);
    fleet.unlist(0);
    int number = 0;
    const auto isServed = [&] {
        const std::string answer = fleet.get(0, "/read/x", "r-" + std::to_string(++number));
        return answer.find("signed-by-" + SmallFleet::upstreamName(0)) != std::string::npos;
    };
    BOOST_REQUIRE(harness::eventually([&] { return !isServed(); }));
    const auto arrivedBefore = fleet.upstream(0).receivedRequests().size();
    fleet.listAt("a\r\nX-Injected: 1", fleet.upstream(0).port(), {});
    fleet.listAt("a ", fleet.upstream(0).port(), {});
    // A later change of the list: once it is in force, so are the odd entries.
    fleet.listAt("elsewhere", standin::freePort(), {});
    for (int i = 0; i < 20; ++i) {
        isServed();
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    const auto requests = fleet.upstream(0).receivedRequests();
    BOOST_TEST(requests.size() == arrivedBefore);
    BOOST_TEST(std::ranges::none_of(requests, [](const HttpRequest &request) {
        return findHeader(request.headers, "X-Injected").has_value();
    }));
    fleet.list(0, {});
    BOOST_TEST(harness::eventually(isServed), "the other entries hold");
}

BOOST_AUTO_TEST_CASE(idOf70000BytesLeavesNoRequestUnanswered, *boost::unit_test::timeout(60))
{
    SmallFleet fleet(1, 2);
    fleet.listAt(std::string(70'000, 'a'), fleet.upstream(1).port(), {});
    for (int i = 0; i < 20; ++i)
        fleet.get(0, "/read/x", "r-" + std::to_string(i));
    BOOST_TEST(fleet.entryFollowsList(0, 0, 1));
}

BOOST_AUTO_TEST_SUITE_END()
