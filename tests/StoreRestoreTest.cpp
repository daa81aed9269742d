#include "serving/UpstreamDirectory.h"
#include "support/SmallFleet.h"

#include <algorithm>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::SmallFleet;
using tamarack::standin::PlatformStore;
using tamarack::standin::UpstreamMode;

namespace {

constexpr std::size_t entryCount = 3;
constexpr std::size_t upstreamCount = 3;
constexpr int requestsPerEntry = 12;
/// From a change of the store's list until it is in force at all entries, which may have to notice
/// that the store was restored.
constexpr milliseconds listDelay{2500};

/// Three entries before upstreams of two software versions: 0 and 2 have `v1`, 1 has `v2`. Two of
/// the entries follow the store, the third relies on them.
struct FleetBeforeRestore : SmallFleet
{
    FleetBeforeRestore()
        : SmallFleet(entryCount, upstreamCount)
    {
        list(1, {.version = "v2"});
        for (int i = 0; i < 100; ++i)
            get(i % entryCount, "/read/x", "fill" + std::to_string(i));
        store().with([this](const PlatformStore &content) { m_copy = content; });
    }

    /// Raises the revision by writes that do not concern the entries.
    void advance(int revisions)
    {
        store().with([=, this](PlatformStore &content) { write(content, revisions); });
    }

    /// Restores the store as of the construction of the fleet.
    void restore()
    {
        store().with([this](PlatformStore &content) { content.restore(m_copy); });
    }

    /// Restores the store, which then lacks the upstream and reaches its former revision before any
    /// entry asks again.
    void restoreWithout(std::size_t upstream, int revisions)
    {
        store().with([=, this](PlatformStore &content) {
            content.restore(m_copy);
            content.remove("servers", upstreamName(upstream));
            write(content, revisions);
        });
    }

    void requestAtAllEntries(const std::string &path, const std::string &prefix)
    {
        for (int i = 0; i < requestsPerEntry; ++i)
            for (std::size_t entry = 0; entry < entryCount; ++entry) {
                const std::string id = prefix + std::to_string(entry) + '-' + std::to_string(i);
                get(entry, path + id, id);
            }
    }

private:
    void write(PlatformStore &content, int revisions)
    {
        for (int i = 0; i < revisions; ++i)
            content.create("others", "object-" + std::to_string(m_written++), nullptr);
    }

    PlatformStore m_copy;
    int m_written = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreRestoreSuite, FleetBeforeRestore)

// Guards against review case 2: an entry that relied on followers compared revisions of two eras
// and missed all changes after a restore.
BOOST_AUTO_TEST_CASE(streamsOfTwoVersionsAreNotJoinedAfterTheStoreWasRestored)
{
    advance(60);
    list(2, {.version = "v1", .slots = 5});
    std::this_thread::sleep_for(listDelay);
    restore();
    list(2, {.version = "v1", .slots = 5});
    list(0, {.version = "v2", .born = 2});
    advance(100);
    std::this_thread::sleep_for(listDelay);
    upstream(0).mode = UpstreamMode::AbortsConnection;
    requestAtAllEntries("/stream/", "s");
    const auto requests = upstream(2).receivedRequests();
    BOOST_TEST(std::ranges::none_of(requests, [](const auto &request) {
        return findHeader(request.headers, "Last-Event-Id").has_value();
    }));
}

// The store passes the entries' positions before they ask it again, so that no watch gets 410.
BOOST_AUTO_TEST_CASE(upstreamRemovedAfterARestoreReceivesNoRequests)
{
    advance(30);
    list(2, {.slots = 5});
    std::this_thread::sleep_for(listDelay);
    restoreWithout(1, 200);
    std::this_thread::sleep_for(listDelay + UpstreamDirectory::recoveryGrace);
    const std::size_t before = upstream(1).receivedRequests().size();
    requestAtAllEntries("/read/", "r");
    BOOST_TEST(upstream(1).receivedRequests().size() == before);
}

// Upstreams that joined after the copy was made are registered again a moment later.
BOOST_AUTO_TEST_CASE(upstreamsThatTheRestoredStoreLacksStayInUse)
{
    unlist(0);
    unlist(1);
    unlist(2);
    std::this_thread::sleep_for(listDelay);
    list(0, {});
    std::this_thread::sleep_for(listDelay);
    PlatformStore copy;
    store().with([&](PlatformStore &content) {
        copy = content;
        copy.remove("servers", upstreamName(0));
        content.restore(copy);
    });
    constexpr int probes = 18;
    for (int i = 0; i < probes; ++i) {
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            const std::string id = "r" + std::to_string(entry) + '-' + std::to_string(i);
            BOOST_TEST(harness::responseStatus(get(entry, "/read/" + id, id)) == 200);
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
}

BOOST_AUTO_TEST_SUITE_END()
