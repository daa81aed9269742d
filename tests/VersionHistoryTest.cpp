#include "fleet/VersionHistory.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

const TimePoint start{seconds(100)};
const ServiceVersion first{"models", "v1"};
const ServiceVersion second{"models", "v2"};
const ServiceVersion other{"bookings", "7"};
constexpr std::uint64_t era = 3;

/// A history that has read `record` and lists the first version.
VersionHistory makeHistory(const VersionRecord &record)
{
    VersionHistory history;
    history.applyRecord(record, era, start);
    history.recordListed({first}, start);
    return history;
}

/// Confirms the list for as long as `duration`.
TimePoint follow(VersionHistory &history, TimePoint from, Duration duration)
{
    for (TimePoint now = from; now < from + duration; now += seconds(1))
        history.confirmList(now);
    return from + duration;
}

} // namespace

BOOST_AUTO_TEST_SUITE(VersionHistorySuite)

BOOST_AUTO_TEST_CASE(nothingIsWrittenBeforeTheRecordWasRead)
{
    VersionHistory history;
    history.recordListed({first}, start);
    BOOST_TEST(!history.extended(era));
    BOOST_TEST(history.soleVersions(era).empty());
}

BOOST_AUTO_TEST_CASE(recordOfAllListedVersionsProvesThoseThatAreAlone)
{
    const VersionHistory history = makeHistory({era, false, {first, other}});
    BOOST_TEST(!history.extended(era));
    BOOST_TEST((history.soleVersions(era) == SoleVersions{{"models", "v1"}, {"bookings", "7"}}));
}

BOOST_AUTO_TEST_CASE(listedVersionExtendsTheRecord)
{
    VersionHistory history = makeHistory({era, false, {first}});
    history.recordListed({first, second}, start);
    BOOST_TEST((history.extended(era) == VersionRecord{era, false, {first, second}}));
    BOOST_TEST(history.soleVersions(era).empty());
    history.applyRecord(history.extended(era), era, start);
    BOOST_TEST(!history.extended(era));
}

// A version may be listed and removed between two reads of the list.
BOOST_AUTO_TEST_CASE(versionThatWasListedForAMomentExtendsTheRecord)
{
    VersionHistory history = makeHistory({era, false, {first}});
    history.recordSeen(second, start);
    BOOST_TEST((history.extended(era) == VersionRecord{era, false, {first, second}}));
}

BOOST_AUTO_TEST_CASE(pastIsUnknownWithoutARecordUnlessThereAreNoTraces)
{
    VersionHistory history;
    history.applyRecord(std::nullopt, era, start);
    history.recordListed({first}, start);
    BOOST_TEST((history.extended(era) == VersionRecord{era, true, {first}}));
    history.noteNoPast();
    BOOST_TEST((history.extended(era) == VersionRecord{era, false, {first}}));
}

BOOST_AUTO_TEST_CASE(recordOfAnotherEraProvesNothingToAStartingEntry)
{
    const VersionHistory history = makeHistory({era - 1, false, {first}});
    BOOST_TEST(history.soleVersions(era).empty());
    BOOST_TEST((history.extended(era) == VersionRecord{era, true, {first}}));
}

BOOST_AUTO_TEST_CASE(entryThatFollowedTheListConfirmsTheRecordOfAnotherEra)
{
    VersionHistory history = makeHistory({era, false, {first}});
    history.recordListed({first, second}, start);
    history.recordListed({first}, start);
    // The copy is older than the second version.
    history.applyRecord(VersionRecord{era, false, {first}}, era + 1, start);
    BOOST_TEST((history.extended(era + 1) == VersionRecord{era + 1, false, {first, second}}));
    history.applyRecord(std::nullopt, era + 1, start);
    BOOST_TEST((history.extended(era + 1) == VersionRecord{era + 1, false, {first, second}}));
}

BOOST_AUTO_TEST_CASE(entryThatStoodStillDoesNotVouchForThePast)
{
    VersionHistory history = makeHistory({era, false, {first}});
    history.confirmList(start + VersionHistory::longestGap + seconds(1));
    BOOST_TEST((history.extended(era + 1) == VersionRecord{era + 1, true, {first}}));
}

BOOST_AUTO_TEST_CASE(movedRouteExtendsTheVersionsOfItsService)
{
    VersionHistory history = makeHistory({era, false, {first, other}});
    history.recordListed({first, other}, start);
    history.recordMove("models", "bookings", start);
    BOOST_TEST(
        (history.extended(era) == VersionRecord{era, false, {first, other, {"bookings", "v1"}}}));
    BOOST_TEST((history.soleVersions(era) == SoleVersions{{"models", "v1"}}));
}

BOOST_AUTO_TEST_CASE(versionLeavesTheRecordAfterItsStreamsHaveEnded)
{
    VersionHistory history = makeHistory({era, true, {first, second}});
    const TimePoint before = follow(history, start, VersionHistory::retention - seconds(1));
    BOOST_TEST(!history.trimmed(before));
    const TimePoint after = follow(history, before, seconds(2));
    BOOST_TEST((history.trimmed(after) == VersionRecord{era, false, {first}}));
    history.applyRecord(history.trimmed(after), era, after);
    history.confirmList(after);
    history.recordListed({first}, after);
    BOOST_TEST(!history.extended(era));
    BOOST_TEST((history.soleVersions(era) == SoleVersions{{"models", "v1"}}));
}

BOOST_AUTO_TEST_CASE(versionStaysRecordedWhileTheListIsNotConfirmed)
{
    VersionHistory history = makeHistory({era, true, {first, second}});
    const TimePoint later = start + 2 * VersionHistory::retention;
    history.confirmList(later);
    BOOST_TEST(!history.trimmed(later));
}

BOOST_AUTO_TEST_CASE(versionThatIsListedAgainStaysRecorded)
{
    VersionHistory history = makeHistory({era, false, {first, second}});
    const TimePoint later = follow(history, start, VersionHistory::retention - seconds(1));
    history.recordListed({first, second}, later);
    history.recordListed({first}, later);
    const TimePoint after = follow(history, later, seconds(2));
    BOOST_TEST(!history.trimmed(after));
}

BOOST_AUTO_TEST_CASE(recordsRoundTrip)
{
    const VersionRecord record{era, true, {first, second, other, {"", ""}}};
    BOOST_TEST((decodeVersionRecord(encodeVersionRecord(record)) == record));
    for (const char *odd : {"null", "[]", "{}", R"({"era":1,"pastUnknown":false})",
                            R"({"era":-1,"pastUnknown":false,"services":{}})",
                            R"({"era":1,"pastUnknown":0,"services":{}})",
                            R"({"era":1,"pastUnknown":false,"services":[]})",
                            R"({"era":1,"pastUnknown":false,"services":{"a":"v1"}})",
                            R"({"era":1,"pastUnknown":false,"services":{"a":[1]}})"})
        BOOST_TEST(!decodeVersionRecord(boost::json::parse(odd)), odd);
}

BOOST_AUTO_TEST_SUITE_END()
