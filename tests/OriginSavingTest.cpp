#include "fleet/OriginSaving.h"
#include "base/RequestId.h"
#include "fleet/OriginRecords.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

const TimePoint start{seconds(100)};

} // namespace

BOOST_AUTO_TEST_SUITE(OriginSavingSuite)

BOOST_AUTO_TEST_CASE(writesOfTheFleetDoNotGrowWithTheNumberOfEntries)
{
    for (const std::size_t entries : {4U, 30U, 330U}) {
        OriginSaving saving;
        std::size_t writes = 0;
        for (TimePoint now = start; now < start + seconds(60); now += milliseconds(100)) {
            saving.add({1, "up", 1, "v1", false}, now);
            writes += saving.takeDue(true, entries, now).empty() ? 0 : 1;
        }
        // The smallest platform takes 400 writes a second.
        constexpr std::size_t mostPerSecond = 100;
        BOOST_TEST(writes * entries <= 60 * mostPerSecond);
    }
}

BOOST_AUTO_TEST_CASE(originsAreWrittenWhileTheirStreamsMayBeTakenUp)
{
    OriginSaving saving;
    BOOST_TEST(saving.takeDue(true, 1, start).empty());
    saving.add({1, "up", 1, "v1", false}, start);
    BOOST_TEST(saving.takeDue(true, 1, start).size() == 1U);
    BOOST_TEST(saving.takeDue(true, 1, start + seconds(5)).empty());
    saving.add({2, "up", 1, "v1", false}, start + seconds(10));
    BOOST_TEST(saving.takeDue(true, 1, start + seconds(10)).size() == 2U);
    saving.add({3, "up", 1, "v1", false}, start + OriginSaving::retention);
    BOOST_TEST(saving.takeDue(true, 1, start + OriginSaving::retention).size() == 2U);
}

BOOST_AUTO_TEST_CASE(originsOfWholeStreamsAreNotWritten)
{
    OriginSaving saving;
    saving.add({1, "up", 1, "v1", false}, start);
    saving.add({2, "up", 1, "v1", false}, start);
    saving.remove(1);
    const auto due = saving.takeDue(true, 1, start);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(due.front().stream == 2U);
}

BOOST_AUTO_TEST_CASE(recordsRoundTripWithoutAmbiguousOrigins)
{
    const std::vector<StreamOrigin> origins{
        {7, "a", 1, "v1", false}, {8, "a", 1, "v1", false}, {9, "b", 2, "v2", false}};
    std::vector<StreamOrigin> all = origins;
    all.push_back({10, "c", 3, "v2", true});
    BOOST_TEST((decodeOrigins(encodeOrigins(all)) == origins));
    for (const char *odd :
         {"null", "{}", "[3]", "[{}]",
          R"([{"upstream":1,"born":1,"version":"v","streams":["0000000000000007"]}])",
          R"([{"upstream":"a","born":-1,"version":"v","streams":["0000000000000007"]}])",
          R"([{"upstream":"a","born":1,"version":"v","streams":[7,"x","",null]}])"})
        BOOST_TEST(decodeOrigins(boost::json::parse(odd)).empty(), odd);
}

BOOST_AUTO_TEST_CASE(originsTakeLittleMoreThanTheirText)
{
    namespace json = boost::json;
    const auto group = [](const std::string &upstream, std::size_t streams) {
        json::array keys;
        for (std::size_t i = 0; i < streams; ++i)
            keys.emplace_back(hex64(i));
        return json::object{
            {"upstream", upstream}, {"born", 1}, {"version", "v"}, {"streams", keys}};
    };
    const std::string longName(1000, 'u');
    const auto origins = decodeOrigins(json::array{group(longName, 10), group("a", 1)});
    BOOST_REQUIRE(origins.size() == 1U);
    BOOST_TEST(origins.front().upstreamId == "a");
    const auto most = OriginSaving::maxRows;
    BOOST_TEST(decodeOrigins(json::array{group("a", most), group("b", most)}).size() == most);
    json::object shortKeys = group("a", 1);
    shortKeys["streams"] = json::array(1000, "1");
    BOOST_TEST(decodeOrigins(json::array{shortKeys}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
