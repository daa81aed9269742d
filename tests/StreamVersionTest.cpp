#include "process/Timers.h"
#include "support/SmallFleet.h"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::UpstreamMode;

namespace {

constexpr int okStatus = 200;
constexpr int notRunStatus = 503;
constexpr int streams = 12;
constexpr std::size_t upstreamCount = 3;
/// From a change of the store's list until it is in force at all entries.
constexpr milliseconds listDelay{1200};
/// An entry that has been cut off for this long knows that its list is old.
constexpr seconds outOfStep{4};

bool isFrom(const std::string &answer, std::size_t upstream)
{
    return answer.find("signed-by-" + SmallFleet::upstreamName(upstream)) != std::string::npos;
}

std::string takeUpHeaders(const std::string &resumed)
{
    return "Resumes: " + resumed + "\r\nLast-Event-Id: 2\r\n";
}

/// Three entries before upstreams of two software versions: 0 and 2 have `v1`, 1 has `v2`.
struct FleetOfTwoVersions : SmallFleet
{
    FleetOfTwoVersions()
        : SmallFleet(3, upstreamCount)
    {
        list(1, {.version = versionOf(1)});
        std::this_thread::sleep_for(listDelay);
        // Fills the retry budget.
        for (int i = 0; i < 100; ++i)
            get(i % 3, "/read/x", "fill" + std::to_string(i));
    }

    static std::string versionOf(std::size_t upstream) { return upstream == 1 ? "v2" : "v1"; }

    /// Number of requests received by the upstream that go on after an event.
    std::size_t continuations(std::size_t number)
    {
        const auto requests = upstream(number).receivedRequests();
        return static_cast<std::size_t>(std::ranges::count_if(requests, [](const auto &request) {
            return findHeader(request.headers, "Last-Event-Id").has_value();
        }));
    }

    /// Lets the upstream begin `streams` streams at the first entry, with ids from `prefix`.
    void beginStreams(std::size_t number, const std::string &prefix)
    {
        for (std::size_t i = 0; i < upstreamCount; ++i)
            if (i != number)
                unlist(i);
        std::this_thread::sleep_for(listDelay);
        for (int i = 0; i < streams; ++i) {
            const std::string id = prefix + std::to_string(i);
            BOOST_REQUIRE(isFrom(get(0, "/stream/" + id, id), number));
        }
        for (std::size_t i = 0; i < upstreamCount; ++i)
            if (i != number)
                list(i, {.version = versionOf(i)});
        std::this_thread::sleep_for(listDelay);
    }

    /// Lets upstream 1, which closes idle connections, begin streams at the first entry, each over
    /// a new connection.
    void beginStreamsOverNewConnections()
    {
        constexpr milliseconds idleTime{100};
        upstream(1).closeIdleAfter(idleTime);
        unlist(0);
        unlist(2);
        std::this_thread::sleep_for(listDelay);
        for (int i = 0; i < streams; ++i) {
            const std::string id = "a" + std::to_string(i);
            BOOST_REQUIRE(isFrom(get(0, "/stream/" + id, id), 1));
            std::this_thread::sleep_for(2 * idleTime);
        }
    }

    /// Lets upstream 0 begin streams, and lists then only upstream 1, with the same version.
    void beginOnOneOfTwo()
    {
        beginStreams(0, "a");
        list(1, {.version = versionOf(0), .born = 2});
        unlist(0);
        unlist(2);
        std::this_thread::sleep_for(listDelay);
    }

    /// Cuts the last entry off from the store and from the others.
    void cutOffLastEntry()
    {
        cutFromStore(2);
        stopEntry(0);
        stopEntry(1);
    }

    /// Takes the streams up at the entry, all at the same time.
    void takeUpTogether(std::size_t entry, const std::string &prefix) const
    {
        std::vector<std::jthread> clients;
        for (int i = 0; i < streams; ++i)
            clients.emplace_back([this, entry, id = prefix + std::to_string(i)] {
                get(entry, "/stream/" + id, "again-" + id, takeUpHeaders(id));
            });
    }

    /// Takes the streams up at the entry. Returns how many go on.
    int takeUp(std::size_t entry, const std::string &prefix)
    {
        int taken = 0;
        for (int i = 0; i < streams; ++i) {
            const std::string id = prefix + std::to_string(i);
            const std::string answer =
                get(entry, "/stream/" + id, "again-" + id, takeUpHeaders(id));
            const int status = responseStatus(answer);
            BOOST_TEST((status == okStatus || status == notRunStatus));
            taken += status == okStatus ? 1 : 0;
        }
        return taken;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamVersionSuite, FleetOfTwoVersions)

BOOST_AUTO_TEST_CASE(streamBrokenOffGoesOnAtItsOwnVersionOnly)
{
    upstream(0).mode = UpstreamMode::AbortsConnection;
    upstream(2).mode = UpstreamMode::AbortsConnection;
    for (int i = 0; i < streams; ++i)
        get(i % 2, "/stream/x" + std::to_string(i), "x" + std::to_string(i));
    BOOST_TEST(continuations(1) == 0U);
    BOOST_TEST(continuations(0) + continuations(2) > 0U);
}

BOOST_AUTO_TEST_CASE(clientsTakeStreamsUpAtTheirOwnVersionAtAnyEntry)
{
    beginStreams(1, "a");
    for (std::size_t entry = 0; entry < 3; ++entry)
        BOOST_TEST(takeUp(entry, "a") == streams);
    BOOST_TEST(continuations(0) + continuations(2) == 0U);
    const std::size_t before = continuations(1);
    beginStreams(0, "b");
    for (std::size_t entry = 0; entry < 3; ++entry)
        BOOST_TEST(takeUp(entry, "b") == streams);
    BOOST_TEST(continuations(1) == before);
}

BOOST_AUTO_TEST_CASE(takeUpOfAnUnknownStreamIsRefusedAsNotRun)
{
    beginStreams(1, "a");
    const std::string unknown = get(1, "/stream/a0", "b1", takeUpHeaders("nobody"));
    const std::string unnamed = get(1, "/stream/a0", "b2", "Last-Event-Id: 2\r\n");
    // The id of a stream of other content.
    const std::string other = get(1, "/stream/a0", "b3", takeUpHeaders("a1"));
    for (const std::string &answer : {unknown, unnamed, other}) {
        BOOST_TEST(responseStatus(answer) == notRunStatus);
        BOOST_TEST(answer.find("not-run") != std::string::npos);
    }
    BOOST_TEST(continuations(0) + continuations(1) + continuations(2) == 0U);
}

BOOST_AUTO_TEST_CASE(takeUpIsRefusedSoonWhenItsVersionHasLeft)
{
    beginStreams(1, "a");
    unlist(1);
    std::this_thread::sleep_for(listDelay);
    const TimePoint start = steadyNow();
    BOOST_TEST(takeUp(1, "a") == 0);
    BOOST_TEST((steadyNow() - start < milliseconds(200) * streams));
    BOOST_TEST(continuations(0) + continuations(2) == 0U);
}

// All entries that knew the streams have gone; the version of the first part is among those listed.
BOOST_AUTO_TEST_CASE(takeUpIsRefusedAfterAllEntriesWereReplaced)
{
    beginStreams(1, "a");
    list(1, {.version = "v1", .born = 2});
    for (std::size_t i = 0; i < 3; ++i)
        stopEntry(i);
    const std::size_t entry = startEntry();
    std::this_thread::sleep_for(listDelay);
    BOOST_TEST(takeUp(entry, "a") == 0);
    BOOST_TEST(continuations(0) + continuations(1) + continuations(2) == 0U);
    BOOST_TEST(responseStatus(get(entry, "/stream/new", "new")) == okStatus);
}

// An entry stands still while an upstream of a new version joins and begins streams.
BOOST_AUTO_TEST_CASE(streamsOfANewUpstreamDoNotGoOnAtAnotherVersionByAnEntryThatStoodStill)
{
    unlist(1);
    std::this_thread::sleep_for(listDelay);
    freezeEntry(2, milliseconds(4000));
    list(1, {.version = "v2", .born = 2});
    beginStreams(1, "a");
    takeUpTogether(2, "a");
    BOOST_TEST(continuations(0) + continuations(2) == 0U);
}

// The lists are old, but the upstreams report what they are.
BOOST_AUTO_TEST_CASE(clientsTakeStreamsUpWhileTheStoreIsAway)
{
    beginStreams(1, "a");
    for (std::size_t entry = 0; entry < 3; ++entry)
        cutFromStore(entry);
    // Meanwhile the entries vouch for each other's lists.
    constexpr seconds vouching{2};
    std::this_thread::sleep_for(outOfStep + vouching);
    for (int i = 0; i < streams; ++i) {
        const std::string id = "b" + std::to_string(i);
        BOOST_TEST(responseStatus(get(0, "/stream/" + id, id)) == okStatus);
    }
    BOOST_TEST(takeUp(1, "a") == streams);
    BOOST_TEST(takeUp(1, "b") == streams);
}

BOOST_AUTO_TEST_CASE(streamsGoOnAtAnUpstreamWhoseReportIsLate)
{
    beginStreams(1, "a");
    upstream(1).reportDelayMs = 600;
    takeUpTogether(1, "a");
    BOOST_TEST(continuations(1) == static_cast<std::size_t>(streams));
}

// An entry is cut off while an upstream restarts under its id with a new version.
BOOST_AUTO_TEST_CASE(streamsDoNotGoOnAtAnUpstreamThatRestartedUnseen)
{
    beginOnOneOfTwo();
    cutOffLastEntry();
    list(1, {.version = "v2", .born = 3});
    takeUpTogether(2, "a");
    BOOST_TEST(continuations(1) == 0U);
}

// As above, at upstreams that do not report when they were started.
BOOST_AUTO_TEST_CASE(streamsDoNotGoOnByAnEntryWhoseListIsOld)
{
    reportsBorn = false;
    beginOnOneOfTwo();
    cutOffLastEntry();
    list(1, {.version = "v2", .born = 3});
    std::this_thread::sleep_for(outOfStep);
    takeUpTogether(2, "a");
    BOOST_TEST(continuations(1) == 0U);
}

// All entries are killed; those that start then have the origins from the store.
BOOST_AUTO_TEST_CASE(clientsTakeStreamsUpAfterAllEntriesWereKilled)
{
    unlist(0);
    unlist(2);
    std::this_thread::sleep_for(listDelay);
    upstream(1).eventPauseMs = 50;
    for (int i = 0; i < streams; ++i) {
        const std::string id = "a" + std::to_string(i);
        const std::string received = leaveAfter(0, "/stream/" + id, id, "id: 2\n");
        BOOST_TEST_REQUIRE(received.find("id: 2\n") != std::string::npos, received);
    }
    list(0, {});
    list(2, {});
    std::this_thread::sleep_for(listDelay);
    for (std::size_t i = 0; i < 3; ++i)
        stopEntry(i);
    const std::size_t entry = startEntry();
    std::this_thread::sleep_for(listDelay);
    upstream(1).eventPauseMs = 0;
    BOOST_TEST(takeUp(entry, "a") == streams);
    BOOST_TEST(continuations(0) + continuations(2) == 0U);
}

// Guards against review case 5: an idle close counted as a sign of a restart.
BOOST_AUTO_TEST_CASE(clientsTakeUpStreamsOfAnUpstreamThatClosesIdleConnections)
{
    beginStreamsOverNewConnections();
    BOOST_TEST(takeUp(1, "a") == streams);
}

BOOST_AUTO_TEST_CASE(clientsTakeUpStreamsAfterIdleClosesOfAnUpstreamWithoutAReport)
{
    reportsBorn = false;
    list(1, {.version = "v2", .born = 2});
    beginStreamsOverNewConnections();
    BOOST_TEST(takeUp(1, "a") == streams);
}

// The list is current, but the upstream has restarted and is listed later.
BOOST_AUTO_TEST_CASE(streamsDoNotBeginAtAnotherIncarnationOnceItsConnectionsHaveEnded)
{
    beginStreamsOverNewConnections();
    upstream(1).born = 2;
    const std::size_t before = upstream(1).receivedRequests().size();
    for (int i = 0; i < streams; ++i) {
        const std::string id = "b" + std::to_string(i);
        BOOST_TEST(responseStatus(get(0, "/stream/" + id, id)) != okStatus);
    }
    BOOST_TEST(upstream(1).receivedRequests().size() == before);
}

// The upstream is back under its id with another version; which of the two wrote the events is not
// known, as the store may list it late.
BOOST_AUTO_TEST_CASE(takeUpIsRefusedWhenTheUpstreamIsBackAsAnotherIncarnation)
{
    beginStreams(0, "a");
    list(0, {.version = "v2", .born = 2});
    std::this_thread::sleep_for(listDelay);
    for (std::size_t entry = 0; entry < 3; ++entry)
        BOOST_TEST(takeUp(entry, "a") == 0);
    BOOST_TEST(continuations(0) + continuations(1) + continuations(2) == 0U);
}

// Guards against take-ups that were refused because the upstream that began the streams had been
// killed and was back under its id, although with the same version.
BOOST_AUTO_TEST_CASE(clientsTakeStreamsUpAfterTheUpstreamIsBackWithItsVersion)
{
    beginStreams(0, "a");
    list(0, {.version = versionOf(0), .born = 2});
    std::this_thread::sleep_for(listDelay);
    for (std::size_t entry = 0; entry < 3; ++entry)
        BOOST_TEST(takeUp(entry, "a") == streams);
    BOOST_TEST(continuations(1) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
