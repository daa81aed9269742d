#include "support/Eventually.h"
#include "support/SmallFleet.h"

#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::eventually;
using tamarack::harness::SmallFleet;
using tamarack::standin::PlatformStore;

namespace {

/// Names of other writers' objects that cannot stand in a query as they are. They come before the
/// upstreams' names.
std::vector<std::string> unusualNames()
{
    return {"a00%#",       "a01%#zz", "a02&b=", "a03+",      "a04%C3%A9",
            "a05 b",       "a06/../", "a07?x",  "a08\"\\",   "a09\xC3\xA9",
            "a10\r\nX: y", "a11;=",   "a12%",   "a13\x7f\t", std::string("a14\0b", 5)};
}

/// Writes an object under each of the names, and lets the store's pages end at each of them.
void addUnusualNames(SmallFleet &fleet, const std::string &kind)
{
    fleet.store().with([&](PlatformStore &store) {
        store.setPageSize(1);
        for (const std::string &name : unusualNames())
            store.create(kind, name, boost::json::object{{"odd", true}});
    });
}

/// Writes an object under a name that JSON can write and a parser for Unicode text refuses, a lone
/// surrogate, on a page of its own.
void addUnreadableName(SmallFleet &fleet, const std::string &kind)
{
    const std::string name = "a\xED\xA0\x80";
    fleet.store().substitute(name, R"("a\ud800")");
    fleet.store().with([&](PlatformStore &store) {
        store.setPageSize(1);
        store.create(kind, name, nullptr);
    });
}

/// Lets the store list nothing behind the object: the name that follows is on a page of its own and
/// the store refuses it in a query.
void addGapBehind(SmallFleet &fleet, const std::string &object)
{
    const std::string name = object + "\xED\xA0\x80";
    fleet.store().refusesInvalidUtf8 = true;
    fleet.store().substitute(name, '"' + object + R"(\ud800")");
    fleet.store().with([&](PlatformStore &store) {
        store.setPageSize(1);
        store.create("servers", name, nullptr);
    });
}

/// The upstreams that answer some requests sent one after the other.
std::set<std::string> answersOf(SmallFleet &fleet, std::size_t entry)
{
    constexpr int requests = 30;
    std::set<std::string> names;
    for (int i = 0; i < requests; ++i) {
        const std::string answer = fleet.get(entry, "/read/x", "r" + std::to_string(i));
        for (std::size_t upstream = 0; upstream < fleet.upstreams(); ++upstream)
            if (answer.find("signed-by-" + SmallFleet::upstreamName(upstream)) != std::string::npos)
                names.insert(SmallFleet::upstreamName(upstream));
    }
    return names;
}

void checkStart(const std::string &kind)
{
    SmallFleet fleet(0, 2);
    addUnusualNames(fleet, kind);
    const std::size_t entry = fleet.startEntry();
    BOOST_TEST(fleet.entryFollowsList(entry, 0, 1));
    BOOST_TEST(fleet.store().invalidTargets == 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreListingSuite)

BOOST_AUTO_TEST_CASE(unusualNameOfAnUpstreamObjectDoesNotKeepAnEntryFromStarting)
{
    checkStart("servers");
}

BOOST_AUTO_TEST_CASE(unusualNameBesideTheConfigurationDoesNotKeepAnEntryFromStarting)
{
    checkStart("config");
}

BOOST_AUTO_TEST_CASE(unusualNameAmongRegistrationsDoesNotStopTheirListing)
{
    checkStart("tamarack-entries");
}

BOOST_AUTO_TEST_CASE(unusualNameAmongStreamOriginsDoesNotStopTheirListing)
{
    checkStart("tamarack-streams");
}

BOOST_AUTO_TEST_CASE(unusualNameDoesNotStopARunningEntryFromListingAgain)
{
    SmallFleet fleet(1, 2);
    addUnusualNames(fleet, "servers");
    fleet.store().with([](PlatformStore &store) { store.compact(); });
    BOOST_TEST(fleet.entryFollowsList(0, 0, 1));
    BOOST_TEST(fleet.store().invalidTargets == 0);
}

BOOST_AUTO_TEST_CASE(unreadableObjectBesideTheConfigurationDoesNotKeepAnEntryFromStarting)
{
    SmallFleet fleet(0, 2);
    addUnreadableName(fleet, "config");
    const std::size_t entry = fleet.startEntry();
    BOOST_TEST(fleet.entryFollowsList(entry, 0, 1));
}

BOOST_AUTO_TEST_CASE(pageOfUnreadableObjectsIsNotTheEndOfAListing)
{
    SmallFleet fleet(0, 2);
    addUnreadableName(fleet, "servers");
    const std::size_t entry = fleet.startEntry();
    BOOST_TEST(fleet.entryFollowsList(entry, 0, 1));
}

BOOST_AUTO_TEST_CASE(listingGoesOnFromAnEarlierNameIfTheStoreRefusesTheLast)
{
    SmallFleet fleet(0, 2);
    fleet.store().refusesInvalidUtf8 = true;
    const std::string name = "b\xED\xA0\x80";
    fleet.store().substitute(name, R"("b\ud800")");
    fleet.store().with([&](PlatformStore &store) {
        store.create("servers", "a", nullptr);
        store.create("servers", name, nullptr);
        store.create("servers", "c", nullptr);
    });
    const std::size_t entry = fleet.startEntry();
    BOOST_TEST(fleet.entryFollowsList(entry, 0, 1));
}

BOOST_AUTO_TEST_CASE(entryServesWithThePartThatTheStoreListsUntilItListsAll)
{
    SmallFleet fleet(0, 2);
    addGapBehind(fleet, SmallFleet::upstreamName(0));
    const std::size_t entry = fleet.startEntry();
    BOOST_TEST(answersOf(fleet, entry).contains(SmallFleet::upstreamName(0)));
    BOOST_TEST(!answersOf(fleet, entry).contains(SmallFleet::upstreamName(1)));
    fleet.store().refusesInvalidUtf8 = false;
    BOOST_TEST(fleet.entryFollowsList(entry, 0, 1));
}

BOOST_AUTO_TEST_CASE(upstreamBehindAGapStaysUnlessItHasLeft)
{
    SmallFleet fleet(1, 3);
    addGapBehind(fleet, SmallFleet::upstreamName(0));
    // The entry does not learn of the removal from a watch.
    fleet.store().with([](PlatformStore &store) {
        store.remove("servers", SmallFleet::upstreamName(1));
        store.compact();
    });
    fleet.unlist(0);
    BOOST_TEST(eventually(
        [&] { return answersOf(fleet, 0) == std::set<std::string>{SmallFleet::upstreamName(2)}; }));
}

BOOST_AUTO_TEST_SUITE_END()
