#include "process/Timers.h"
#include "serving/UpstreamListAge.h"
#include "serving/UpstreamTable.h"
#include "support/SmallFleet.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::PlatformStore;

namespace {

constexpr int okStatus = 200;
constexpr int notRunStatus = 503;
constexpr int streams = 12;
constexpr std::size_t entryCount = 3;
constexpr std::size_t upstreamCount = 3;
/// From a change of the store's list until it is in force at all entries.
constexpr milliseconds listDelay{1200};
/// A starting entry can tell versions after this time.
constexpr milliseconds certainDelay = UpstreamTable::listingDelay + milliseconds(700);

/// Three entries before three upstreams of one software version, which write slowly.
struct FleetOfOneVersion : SmallFleet
{
    FleetOfOneVersion()
        : SmallFleet(entryCount, upstreamCount)
    {
        constexpr int eventPauseMs = 50;
        for (std::size_t i = 0; i < upstreamCount; ++i)
            upstream(i).eventPauseMs = eventPauseMs;
    }

    static std::string streamId(int number) { return "a" + std::to_string(number); }

    /// Begins streams at all entries, each `pause` after the one before; their clients leave after
    /// the second event.
    void beginStreams(milliseconds pause = milliseconds(0))
    {
        constexpr std::string_view secondEvent = "id: 2\n";
        std::vector<std::string> received(streams);
        std::vector<std::jthread> clients;
        for (int i = 0; i < streams; ++i)
            clients.emplace_back([&, i] {
                std::this_thread::sleep_for(pause * i);
                const std::string id = streamId(i);
                received[static_cast<std::size_t>(i)] = leaveAfter(
                    static_cast<std::size_t>(i) % entryCount, "/stream/" + id, id, secondEvent);
            });
        clients.clear();
        for (const std::string &response : received)
            BOOST_TEST_REQUIRE(response.find(secondEvent) != std::string::npos, response);
    }

    void stopAllEntries()
    {
        for (std::size_t i = 0; i < entryCount; ++i)
            stopEntry(i);
    }

    void restartAllEntries()
    {
        for (std::size_t i = 0; i < entryCount; ++i)
            restartEntry(i);
        std::this_thread::sleep_for(certainDelay);
    }

    /// Lets each entry try to send a request to each upstream.
    void sendToAllUpstreams()
    {
        constexpr int workMs = 150;
        for (std::size_t i = 0; i < upstreamCount; ++i)
            upstream(i).workMs = workMs;
        std::vector<std::jthread> clients;
        for (std::size_t i = 0; i < entryCount * upstreamCount * 2; ++i)
            clients.emplace_back(
                [this, i] { get(i % entryCount, "/read/x", "send" + std::to_string(i)); });
    }

    /// Begins streams, and restarts all entries, which then find that upstream 0 refuses
    /// connections.
    void restartBesideCrashedUpstream()
    {
        listBehindLink(0, {});
        std::this_thread::sleep_for(listDelay);
        beginStreams();
        stopAllEntries();
        setListening(0, false);
        restartAllEntries();
        sendToAllUpstreams();
    }

    /// Takes the streams up at the restarted entries. Returns how many go on.
    int takeUp(bool namesFirstRequest = true)
    {
        int taken = 0;
        for (int i = 0; i < streams; ++i) {
            const std::string id = streamId(i);
            const std::string headers = namesFirstRequest ? "Resumes: " + id + "\r\n" : "";
            const std::string answer =
                get(static_cast<std::size_t>(i + 1) % entryCount, "/stream/" + id, "again-" + id,
                    headers + "Last-Event-Id: 2\r\n");
            const int status = responseStatus(answer);
            BOOST_TEST((status == okStatus || status == notRunStatus));
            taken += status == okStatus ? 1 : 0;
        }
        return taken;
    }

    /// Takes the streams up without a name, all at the same time, with up to three tries as the
    /// responses state. Returns how many go on.
    int takeUpWithRetries()
    {
        constexpr int tries = 3;
        std::atomic<int> taken = 0;
        std::vector<std::jthread> clients;
        for (int i = 0; i < streams; ++i)
            clients.emplace_back([&, i] {
                for (int attempt = 0; attempt < tries; ++attempt) {
                    const std::string answer =
                        get(static_cast<std::size_t>(i) % entryCount, "/stream/" + streamId(i),
                            "try" + std::to_string(attempt) + streamId(i), "Last-Event-Id: 2\r\n");
                    if (responseStatus(answer) == okStatus) {
                        ++taken;
                        return;
                    }
                    constexpr std::string_view field = "Retry-After: ";
                    const std::size_t at = answer.find(field);
                    if (at == std::string::npos)
                        return;
                    const double seconds = std::stod(answer.substr(at + field.size()));
                    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
                }
            });
        clients.clear();
        return taken;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SoleVersionSuite, FleetOfOneVersion)

// Guards against review case 9: streams that began shortly before all entries were killed were
// refused as unknown although all upstreams had one version.
BOOST_AUTO_TEST_CASE(clientsTakeUpYoungStreamsAfterAllEntriesWereKilled)
{
    beginStreams();
    stopAllEntries();
    restartAllEntries();
    BOOST_TEST(takeUp() == streams);
}

// Guards against review case 9 where clients do not name the request that brought the first event.
BOOST_AUTO_TEST_CASE(clientsThatNameNoRequestTakeUpStreamsAfterAllEntriesWereKilled)
{
    beginStreams();
    stopAllEntries();
    restartAllEntries();
    BOOST_TEST(takeUp(false) == streams);
}

// Guards against review case 9 where the entries are killed again before they know any stream.
BOOST_AUTO_TEST_CASE(clientsTakeUpStreamsAfterAllEntriesWereKilledTwice)
{
    beginStreams();
    stopAllEntries();
    restartAllEntries();
    stopAllEntries();
    restartAllEntries();
    BOOST_TEST(takeUp() == streams);
}

// Guards against streams that only the record of versions let go on: it proves nothing once two
// versions are listed. Two of three upstreams come back under their ids as another version; what
// the third began is certain. The streams begin one after the other, so that one early write of
// origins does not hold them all.
BOOST_AUTO_TEST_CASE(clientsTakeUpYoungStreamsOfAnUpstreamThatStayedWhenOthersChanged)
{
    list(0, {.slots = 1});
    list(1, {.slots = 1});
    std::this_thread::sleep_for(listDelay);
    constexpr int eventPauseMs = 200;
    for (std::size_t i = 0; i < upstreamCount; ++i)
        upstream(i).eventPauseMs = eventPauseMs;
    constexpr milliseconds streamPause{60};
    beginStreams(streamPause);
    constexpr milliseconds youngestKnown{400};
    std::this_thread::sleep_for(youngestKnown);
    stopAllEntries();
    list(0, {.version = "v2", .born = 2});
    list(1, {.version = "v2", .born = 2});
    const auto requests = upstream(2).receivedRequests();
    const auto began = std::ranges::count_if(requests, [](const HttpRequest &request) {
        return request.target.starts_with("/stream/");
    });
    BOOST_REQUIRE(began > 0);
    restartAllEntries();
    BOOST_TEST(takeUp() == began);
    BOOST_TEST(takeUp(false) == 0);
}

// Guards against one upstream that refuses connections, but is still listed: it kept streams of all
// others from going on.
BOOST_AUTO_TEST_CASE(clientsTakeUpUnknownStreamsWhileOneUpstreamHasCrashed)
{
    restartBesideCrashedUpstream();
    BOOST_TEST(takeUp(false) == streams);
}

// Guards against one upstream that accepts connections only at times: each refusal kept unknown
// streams of all others from going on for 15 s.
BOOST_AUTO_TEST_CASE(clientsTakeUpUnknownStreamsWhileOneUpstreamFlaps)
{
    restartBesideCrashedUpstream();
    setListening(0, true);
    BOOST_TEST(takeUp(false) == streams);
}

// Guards against entries that stood still for a moment: they refused unknown streams until their
// list was confirmed, and named a time for the next try that was too short three times in a row.
BOOST_AUTO_TEST_CASE(clientsTakeUpUnknownStreamsSoonAfterAllEntriesStoodStill)
{
    beginStreams();
    stopAllEntries();
    restartAllEntries();
    constexpr milliseconds standstill = UpstreamListAge::standstill + milliseconds(300);
    std::vector<std::jthread> freezes;
    for (std::size_t i = 0; i < entryCount; ++i)
        freezes.emplace_back([this, i] { freezeEntry(i, standstill); });
    freezes.clear();
    std::this_thread::sleep_for(standstill);
    BOOST_TEST(takeUpWithRetries() == streams);
}

// The process that answers for an upstream is another one than the store lists, perhaps of another
// version.
BOOST_AUTO_TEST_CASE(unknownStreamsDoNotGoOnWhileAnUpstreamIsNotTheListedOne)
{
    restartBesideCrashedUpstream();
    upstream(0).born = 2;
    setListening(0, true);
    BOOST_TEST(takeUp(false) == 0);
}

// As above, but the process does not report when it was started.
BOOST_AUTO_TEST_CASE(unknownStreamsDoNotGoOnWhileAnUpstreamThatIsBackDoesNotReport)
{
    reportsBorn = false;
    restartBesideCrashedUpstream();
    setListening(0, true);
    BOOST_TEST(takeUp(false) == 0);
    std::this_thread::sleep_for(certainDelay);
    BOOST_TEST(takeUp(false) == streams);
}

// While the entries are down, all upstreams come back under their ids with another version.
BOOST_AUTO_TEST_CASE(unknownStreamsDoNotGoOnAfterAllUpstreamsChangedTheirVersion)
{
    beginStreams();
    stopAllEntries();
    for (std::size_t i = 0; i < upstreamCount; ++i)
        list(i, {.version = "v2", .born = 2});
    restartAllEntries();
    BOOST_TEST(takeUp(false) == 0);
    BOOST_TEST(responseStatus(get(0, "/stream/new", "new")) == okStatus);
}

// As above, but one upstream keeps its version.
BOOST_AUTO_TEST_CASE(unknownStreamsDoNotGoOnWhileTwoVersionsAreListed)
{
    beginStreams();
    stopAllEntries();
    list(1, {.version = "v2", .born = 2});
    list(2, {.version = "v2", .born = 2});
    restartAllEntries();
    BOOST_TEST(takeUp(false) == 0);
}

// The other version has left before the entries are killed.
BOOST_AUTO_TEST_CASE(unknownStreamsDoNotGoOnAfterAnotherVersionHasServed)
{
    list(1, {.version = "v2", .born = 2});
    std::this_thread::sleep_for(listDelay);
    beginStreams();
    unlist(1);
    std::this_thread::sleep_for(listDelay);
    stopAllEntries();
    restartAllEntries();
    BOOST_TEST(takeUp(false) == 0);
}

// The copy from which the store is restored knows nothing of the other version.
BOOST_AUTO_TEST_CASE(unknownStreamsDoNotGoOnAfterTheStoreWasRestored)
{
    PlatformStore copy;
    store().with([&copy](const PlatformStore &content) { copy = content; });
    list(1, {.version = "v2", .born = 2});
    std::this_thread::sleep_for(listDelay);
    beginStreams();
    stopAllEntries();
    store().with([&copy](PlatformStore &content) {
        content.restore(copy);
        content.remove("servers", upstreamName(1));
    });
    restartAllEntries();
    BOOST_TEST(takeUp(false) == 0);
}

// Entries that run while the store is restored know the other version.
BOOST_AUTO_TEST_CASE(entriesRecordTheirVersionsAgainAfterTheStoreWasRestored)
{
    PlatformStore copy;
    store().with([&copy](const PlatformStore &content) { copy = content; });
    list(1, {.version = "v2", .born = 2});
    std::this_thread::sleep_for(listDelay);
    beginStreams();
    store().with([&copy](PlatformStore &content) {
        content.restore(copy);
        content.remove("servers", upstreamName(1));
    });
    constexpr milliseconds restoreDelay{2500};
    std::this_thread::sleep_for(restoreDelay);
    stopAllEntries();
    restartAllEntries();
    BOOST_TEST(takeUp(false) == 0);
}

// The route's other service has another version.
BOOST_AUTO_TEST_CASE(unknownStreamsDoNotGoOnWhileTheirRouteIsSplit)
{
    list(1, {.version = "v2", .born = 2, .service = "others"});
    routeStreams({"models", "others"});
    std::this_thread::sleep_for(listDelay);
    beginStreams();
    stopAllEntries();
    restartAllEntries();
    BOOST_TEST(takeUp(false) == 0);
}

BOOST_AUTO_TEST_CASE(unknownStreamsDoNotGoOnAfterTheirRouteMovedToAnotherService)
{
    list(1, {.version = "v2", .born = 2, .service = "others"});
    std::this_thread::sleep_for(listDelay);
    beginStreams();
    routeStreams({"others"});
    std::this_thread::sleep_for(listDelay);
    stopAllEntries();
    restartAllEntries();
    BOOST_TEST(takeUp(false) == 0);
}

// An entry that has just started may have an old list. The client names no request, as the origin
// of a stream may be known by then.
BOOST_AUTO_TEST_CASE(unknownStreamsDoNotGoOnBeforeRestartedUpstreamsAreListed)
{
    beginStreams();
    stopAllEntries();
    restartEntry(0);
    const std::string answer = get(0, "/stream/a0", "again", "Last-Event-Id: 2\r\n");
    BOOST_TEST(responseStatus(answer) == notRunStatus);
}

BOOST_AUTO_TEST_SUITE_END()
