#include "serving/ConfigCheck.h"
#include "platform/ConfigDecoder.h"

#include <algorithm>
#include <string_view>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

ServingConfig soundConfig()
{
    ServingConfig config;
    config.version = 3;
    Route route;
    route.name = "summary";
    route.host = "h.example";
    route.pathPrefix = "/summary/";
    route.kind = RequestKind::Stream;
    route.resumable = true;
    route.maxAttempts = 2;
    route.timeout = milliseconds(5000);
    route.objective = milliseconds(500);
    route.eventGapObjective = milliseconds(250);
    route.services = {{"models", 1}};
    config.routes = {route};
    config.services = {{"models", 100, "/healthz", EngineFacts{6, 1000, 4}}};
    config.workspaces = {{"office", {"key-a", "key-b"}, {}, QuotaUnit::Tokens, 200, 1000, 1000}};
    config.buildIndexes();
    return config;
}

/// Whether some finding about the place has the text.
bool finds(ServingConfig config, std::string_view place, std::string_view text)
{
    config.buildIndexes();
    return std::ranges::any_of(checkConfig(config), [&](const ConfigFinding &finding) {
        return finding.place.starts_with(place) && finding.message.find(text) != std::string::npos;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigCheckSuite)

BOOST_AUTO_TEST_CASE(aSoundConfigurationHasNoFindings)
{
    BOOST_TEST(checkConfig(soundConfig()).empty());
}

BOOST_AUTO_TEST_CASE(entriesThatNeverMatchAreFound)
{
    ServingConfig config = soundConfig();
    config.routes.push_back(config.routes[0]);
    config.routes[1].name = "shadowed";
    BOOST_TEST(finds(config, "routes[1] (shadowed)", "never matches: routes[0]"));

    config = soundConfig();
    config.routes[0].pathPrefix = "/summary";
    BOOST_TEST(finds(config, "routes[0]", "slash"));
    config = soundConfig();
    config.routes[0].host = "h.example:80";
    BOOST_TEST(finds(config, "routes[0]", "port"));
    config = soundConfig();
    config.routes[0].services = {{"other", 1}};
    BOOST_TEST(finds(config, "routes[0]", "other is not listed"));
    BOOST_TEST(finds(config, "services[0]", "no route"));
    config = soundConfig();
    config.workspaces[0].keys.clear();
    BOOST_TEST(finds(config, "workspaces[0]", "no keys"));
    config = soundConfig();
    config.workspaces.push_back({"agency", {"key-b"}});
    BOOST_TEST(finds(config, "workspaces[1]", "belongs to workspaces[0]"));
}

BOOST_AUTO_TEST_CASE(contradictingLimitsAreFound)
{
    ServingConfig config = soundConfig();
    config.routes[0].objective = milliseconds(6000);
    BOOST_TEST(finds(config, "routes[0]", "longer than the timeout"));
    config = soundConfig();
    config.routes[0].resumable = false;
    BOOST_TEST(finds(config, "routes[0]", "must not be repeated"));
    config = soundConfig();
    config.workspaces[0].rate = 0;
    BOOST_TEST(finds(config, "workspaces[0]", "burst without a rate"));
    config = soundConfig();
    config.workspaces[0].burst = 0;
    BOOST_TEST(finds(config, "workspaces[0]", "rate without a burst"));
    config = soundConfig();
    config.limits.idleTimeout = milliseconds(10);
    BOOST_TEST(finds(config, "limits", "shorter than the time for a head"));
    config = soundConfig();
    config.services[0].maxConnections = 2;
    BOOST_TEST(finds(config, "services[0]", "fewer connections"));
}

BOOST_AUTO_TEST_CASE(differencesNameWhatChangesAndShowNoKey)
{
    const ServingConfig before = soundConfig();
    ServingConfig after = soundConfig();
    BOOST_TEST(compareConfigs(before, after).empty());
    after.version = 4;
    after.routes[0].timeout = milliseconds(4000);
    after.workspaces[0].keys = {"key-b", "key-c", "key-d"};
    after.services.push_back({"bookings"});
    const std::vector<ConfigDifference> expected{
        {"configuration.version", "3", "4"},
        {"route summary.timeout", "5000 ms", "4000 ms"},
        {"service bookings", "", "present"},
        {"workspace office.keys", "1 taken away", "2 added"}};
    BOOST_CHECK(compareConfigs(before, after) == expected);
}

BOOST_AUTO_TEST_CASE(aRouteThatCannotBeDecodedIsNamedByItsPlace)
{
    const auto document = boost::json::parse(
        R"({"version": 1, "routes": [{"name": "a", "host": "h", "pathPrefix": "/a/",
            "kind": "idempotent", "service": "s"}, {"name": "b", "host": "h"}]})");
    const auto config = platform::decodeConfig(document);
    BOOST_REQUIRE(!config.has_value());
    BOOST_TEST(config.error().message.find("routes[1]") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
