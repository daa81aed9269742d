#include "fleet/OriginSaving.h"
#include "base/RequestId.h"
#include "fleet/OriginRecords.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

const TimePoint start{seconds(100)};

/// The streams of the write that is due, which succeeds; empty if none is due.
std::vector<StreamKey> takenStreams(OriginSaving &saving, std::size_t entries, TimePoint now,
                                    bool several = true)
{
    std::vector<StreamKey> streams;
    if (const auto due = saving.takeDue(several, entries, now)) {
        for (const StreamOrigin &origin : due->origins)
            streams.push_back(origin.stream);
        saving.recordEnd(true);
    }
    return streams;
}

/// The writes of one entry within 60 s, while a stream begins each 100 ms.
std::size_t writesInMinute(std::size_t entries, bool several)
{
    OriginSaving saving;
    std::size_t writes = 0;
    for (TimePoint now = start; now < start + seconds(60); now += milliseconds(100)) {
        saving.add({1, "up", 1, "v1", false}, now);
        writes += takenStreams(saving, entries, now, several).empty() ? 0 : 1;
    }
    return writes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OriginSavingSuite)

BOOST_AUTO_TEST_CASE(writesOfTheFleetDoNotGrowWithTheNumberOfEntries)
{
    for (const std::size_t entries : {4U, 30U, 330U}) {
        // The smallest platform takes 400 writes a second.
        constexpr std::size_t mostPerSecond = 100;
        BOOST_TEST(writesInMinute(entries, true) * entries <= 60 * mostPerSecond);
    }
}

// Each call of the store is priced. Unknown streams of one version go on without their origins.
BOOST_AUTO_TEST_CASE(writesOfLargerFleetsAreFewWhileThereIsOneVersion)
{
    for (const std::size_t entries : {4U, 30U, 330U}) {
        constexpr std::size_t mostPerSecond = 30;
        BOOST_TEST(writesInMinute(entries, false) * entries <= 60 * mostPerSecond);
    }
}

BOOST_AUTO_TEST_CASE(originsAreWrittenWhileTheirStreamsMayBeTakenUp)
{
    OriginSaving saving;
    BOOST_TEST(takenStreams(saving, 1, start).empty());
    saving.add({1, "up", 1, "v1", false}, start);
    BOOST_TEST(takenStreams(saving, 1, start).size() == 1U);
    BOOST_TEST(takenStreams(saving, 1, start + seconds(5)).empty());
    saving.add({2, "up", 1, "v1", false}, start + seconds(10));
    BOOST_TEST(takenStreams(saving, 1, start + seconds(10)).size() == 2U);
    saving.add({3, "up", 1, "v1", false}, start + OriginSaving::retention);
    BOOST_TEST(takenStreams(saving, 1, start + OriginSaving::retention).size() == 2U);
}

BOOST_AUTO_TEST_CASE(originsOfWholeStreamsAreNotWritten)
{
    OriginSaving saving;
    saving.add({1, "up", 1, "v1", false}, start);
    saving.add({2, "up", 1, "v1", false}, start);
    saving.remove(1);
    const auto due = saving.takeDue(true, 1, start);
    BOOST_REQUIRE(due);
    BOOST_REQUIRE(due->origins.size() == 1U);
    BOOST_TEST(due->origins.front().stream == 2U);
}

// Guards against review case 9: streams that began within 2 s of a kill of all entries were known
// to none of those that started then.
BOOST_AUTO_TEST_CASE(originsOfASmallFleetAreWrittenWithinMoments)
{
    constexpr milliseconds tick{100};
    constexpr milliseconds mostAge{250};
    for (const bool several : {false, true}) {
        OriginSaving saving;
        StreamKey stream = 0;
        std::map<StreamKey, TimePoint> unsaved;
        for (TimePoint now = start; now < start + seconds(10); now += tick) {
            unsaved.emplace(++stream, now);
            saving.add({stream, "up", 1, "v1", false}, now);
            for (const StreamKey saved : takenStreams(saving, 4, now + milliseconds(1), several))
                unsaved.erase(saved);
            BOOST_TEST((unsaved.empty() || now - unsaved.begin()->second <= mostAge));
        }
    }
}

// Guards against a write that was skipped or failed, and was not made again before another stream
// began.
BOOST_AUTO_TEST_CASE(aWriteThatFailedIsMadeAgain)
{
    OriginSaving saving;
    saving.add({1, "up", 1, "v1", false}, start);
    BOOST_REQUIRE(saving.takeDue(true, 1, start));
    saving.add({2, "up", 1, "v1", false}, start);
    BOOST_TEST(!saving.takeDue(true, 1, start + seconds(1)));
    saving.recordEnd(false);
    const auto again = saving.takeDue(true, 1, start + seconds(1));
    BOOST_REQUIRE(again);
    BOOST_TEST((again->scope == OriginSaving::Scope::All));
    BOOST_TEST(again->origins.size() == 2U);
}

BOOST_AUTO_TEST_CASE(mostWritesHoldOnlyWhatTheLastOfAllDoesNot)
{
    OriginSaving saving;
    saving.add({1, "up", 1, "v1", false}, start);
    BOOST_TEST(takenStreams(saving, 1, start).size() == 1U);
    const auto take = [&saving](TimePoint now) {
        auto due = saving.takeDue(true, 1, now);
        saving.recordEnd(true);
        BOOST_REQUIRE(due);
        return std::pair(due->scope, due->origins.size());
    };
    using Scope = OriginSaving::Scope;
    saving.add({2, "up", 1, "v1", false}, start);
    BOOST_TEST((take(start + milliseconds(200)) == std::pair(Scope::Recent, std::size_t(1))));
    saving.add({3, "up", 1, "v1", false}, start);
    BOOST_TEST((take(start + milliseconds(400)) == std::pair(Scope::Recent, std::size_t(2))));
    saving.add({4, "up", 1, "v1", false}, start);
    BOOST_TEST((take(start + seconds(2)) == std::pair(Scope::All, std::size_t(4))));
    saving.add({5, "up", 1, "v1", false}, start);
    BOOST_TEST((take(start + milliseconds(2200)) == std::pair(Scope::Recent, std::size_t(1))));
    saving.saveAgain();
    BOOST_TEST((take(start + milliseconds(2400)) == std::pair(Scope::All, std::size_t(5))));
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
