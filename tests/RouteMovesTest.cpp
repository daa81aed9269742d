#include "serving/RouteMoves.h"
#include "serving/ServingConfig.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

Route makeRoute(const std::string &prefix, const std::vector<WeightedService> &services)
{
    Route route;
    route.host = "h.example";
    route.pathPrefix = prefix;
    route.kind = RequestKind::Stream;
    route.resumable = true;
    route.services = services;
    return route;
}

ServingConfig makeConfig(const std::vector<Route> &routes)
{
    ServingConfig config;
    config.routes = routes;
    config.buildIndexes();
    return config;
}

using Moves = std::set<RouteMove>;

} // namespace

BOOST_AUTO_TEST_SUITE(RouteMovesSuite)

BOOST_AUTO_TEST_CASE(routeOfAnotherServiceMovesItsStreams)
{
    const auto before = makeConfig({makeRoute("/a/", {{"models", 1}})});
    const auto after = makeConfig({makeRoute("/a/", {{"others", 1}})});
    BOOST_TEST((streamMoves(before, after) == Moves{{"models", "others"}}));
    BOOST_TEST((streamMoves(after, before) == Moves{{"others", "models"}}));
    BOOST_TEST(streamMoves(before, before).empty());
}

BOOST_AUTO_TEST_CASE(splitMovesStreamsBetweenItsServices)
{
    const auto before = makeConfig({makeRoute("/a/", {{"models", 1}})});
    const auto after = makeConfig({makeRoute("/a/", {{"models", 1}, {"others", 1}})});
    BOOST_TEST((streamMoves(before, after) == Moves{{"models", "others"}}));
}

BOOST_AUTO_TEST_CASE(longerPrefixMovesStreamsWhenItComesAndGoes)
{
    const auto shorter = makeConfig({makeRoute("/a/", {{"models", 1}})});
    const auto both =
        makeConfig({makeRoute("/a/", {{"models", 1}}), makeRoute("/a/b/", {{"others", 1}})});
    BOOST_TEST((streamMoves(shorter, both) == Moves{{"models", "others"}}));
    BOOST_TEST((streamMoves(both, shorter) == Moves{{"others", "models"}}));
}

BOOST_AUTO_TEST_CASE(routesThatClientsCannotResumeMoveNothing)
{
    const auto before = makeConfig({makeRoute("/a/", {{"models", 1}})});
    Route route = makeRoute("/a/", {{"others", 1}});
    route.resumable = false;
    BOOST_TEST(streamMoves(before, makeConfig({route})).empty());
    BOOST_TEST(streamMoves(before, makeConfig({})).empty());
}

BOOST_AUTO_TEST_SUITE_END()
