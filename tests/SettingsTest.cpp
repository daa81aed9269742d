#include "config/Settings.h"
#include "config/FleetConfig.h"

#include <algorithm>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
namespace json = boost::json;

namespace {

const std::string digest(64, 'a');

json::object validEntry()
{
    return {
        {"role", "entry"},
        {"name", "entry-1"},
        {"dataCentre", "bp-north"},
        {"caller", json::object{{"address", "127.0.0.1:8080"}}},
        {"admin", json::object{{"address", "127.0.0.1:8081"}}},
        {"peerKey", "0123456789abcdef"},
        {"seeds", json::array{json::object{{"name", "up-1"}, {"address", "127.0.0.1:9001"}}}},
        {"workspaces", json::array{json::object{{"name", "casework"}, {"tokenSha256", digest}}}}};
}

json::object validUpstream()
{
    return {{"role", "upstream"},
            {"name", "up-1"},
            {"dataCentre", "bp-north"},
            {"admin", json::object{{"address", "127.0.0.1:8081"}}},
            {"peer", "127.0.0.1:9001"},
            {"peerKey", "0123456789abcdef"},
            {"upstream", json::object{{"kind", "engine"},
                                      {"address", "127.0.0.1:9100"},
                                      {"targets", json::array{"drafting-models"}}}}};
}

/// One change to a valid document and the fault it must give.
struct BadSettings
{
    bool entry = true;
    std::string key;
    json::value value;
    std::string path;
    std::string message;
};

json::value without(json::object object, std::string_view key)
{
    object.erase(key);
    return object;
}

std::vector<BadSettings> badSettings()
{
    const json::object engine = validUpstream()["upstream"].as_object();
    json::object badCapacity = engine;
    badCapacity["capacity"] = 0;
    json::object badKind = engine;
    badKind["kind"] = "robot";
    json::object noTargets = engine;
    noTargets["targets"] = json::array{};
    json::object twoServices = engine;
    twoServices["kind"] = "service";
    twoServices["targets"] = json::array{"a", "b"};
    json::object emptyTarget = engine;
    emptyTarget["targets"] = json::array{""};
    json::object textFencing = engine;
    textFencing["checksFencing"] = "yes";
    const json::object token{{"name", "casework"}, {"tokenSha256", digest}};
    return {
        {true, "role", "router", "role", "must be one of entry, upstream, direct"},
        {true, "role", 5, "role", "must be a string"},
        {true, "name", "", "name", "must not be empty"},
        {true, "dataCentre", nullptr, "dataCentre", "must be a string"},
        {true, "caller", "127.0.0.1:80", "caller", "must be an object"},
        {true, "caller", json::object{{"address", "localhost:80"}}, "caller.address",
         "must be IP:PORT with a port from 1 to 65535"},
        {true, "caller", json::object{{"address", "127.0.0.1:70000"}}, "caller.address",
         "must be IP:PORT with a port from 1 to 65535"},
        {true, "caller", json::object{{"address", "127.0.0.1:1"}, {"port", 1}}, "caller.port",
         "is not a known key"},
        {true, "caller",
         json::object{{"address", "127.0.0.1:1"}, {"tls", json::object{{"keyFile", "k"}}}},
         "caller.tls.certificateFile", "is required"},
        {true, "admin", json::object{}, "admin.address", "is required"},
        {true, "peerKey", "short", "peerKey", "must have at least 16 characters"},
        {true, "seeds", json::array{}, "seeds", "must not be empty without hostList"},
        {true, "seeds", json::array{json::object{{"name", "up-1"}, {"address", "x"}}},
         "seeds[0].address", "must be IP:PORT with a port from 1 to 65535"},
        {true, "seeds", "up-1", "seeds", "must be an array"},
        {true, "workspaces", json::array{}, "workspaces", "must name at least one workspace"},
        {true, "workspaces", json::array{json::object{{"name", "a"}, {"tokenSha256", "12"}}},
         "workspaces[0].tokenSha256", "must be 64 lower-case hex digits"},
        {true, "workspaces", json::array{token, token}, "workspaces[1].name", "is used twice"},
        {true, "operators",
         json::array{json::object{{"name", "o"}, {"tokenSha256", digest}, {"role", "king"}}},
         "operators[0].role", "must be one of admin, viewer"},
        {true, "threads", 0, "threads", "must be positive"},
        {true, "threads", 1.5, "threads", "must be a whole number"},
        {true, "threads", 65, "threads", "must be between 1 and 64"},
        {true, "log", json::object{{"level", "loud"}}, "log.level",
         "must be one of debug, info, warn, error"},
        {true, "limits", json::object{{"bodyBytes", 0}}, "limits.bodyBytes", "must be positive"},
        {true, "limits", json::object{{"headerBytes", 8}}, "limits.headerBytes",
         "must be between 256 and 1048576"},
        {true, "timing", json::object{{"heartbeatMs", 1000}, {"silenceMs", 1500}},
         "timing.silenceMs", "must be at least twice heartbeatMs"},
        {true, "timing", json::object{{"leaveBoundMs", "3s"}}, "timing.leaveBoundMs",
         "must be a whole number"},
        {true, "objectApi", "store", "objectApi", "must be IP:PORT with a port from 1 to 65535"},
        {true, "colour", "red", "colour", "is not a known key"},
        {false, "peer", "127.0.0.1", "peer", "must be IP:PORT with a port from 1 to 65535"},
        {false, "upstream", badCapacity, "upstream.capacity", "must be positive"},
        {false, "upstream", badKind, "upstream.kind", "must be one of engine, service"},
        {false, "upstream", noTargets, "upstream.targets",
         "must name at least one model or service"},
        {false, "upstream", twoServices, "upstream.targets", "must name exactly one service"},
        {false, "upstream", emptyTarget, "upstream.targets[0]", "must be a non-empty string"},
        {false, "upstream", textFencing, "upstream.checksFencing", "must be true or false"},
        {false, "upstream", without(engine, "address"), "upstream.address", "is required"},
        {false, "caller", json::object{{"address", "127.0.0.1:1"}}, "caller", "is not a known key"},
    };
}

json::object validConfig()
{
    const json::array tiers{json::object{{"name", "live"}}, json::object{{"name", "batch"}}};
    return {{"presetInForce", "ordinary"},
            {"presets", json::object{{"ordinary", json::object{{"tiers", tiers}}},
                                     {"peak", json::object{{"tiers", tiers}}}}},
            {"models", json::array{"m"}}};
}

std::vector<DocumentFault> configFaults(const json::object &document)
{
    const auto config = parseFleetConfig(json::serialize(document), 1);
    return config ? std::vector<DocumentFault>() : config.error();
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(validDocumentsAreAccepted)
{
    BOOST_TEST(parseSettings(json::serialize(validEntry())).has_value());
    BOOST_TEST(parseSettings(json::serialize(validUpstream())).has_value());
}

BOOST_AUTO_TEST_CASE(schedulingIsOffUnlessItIsAskedFor)
{
    const auto listener = [](const char *address) { return json::object{{"address", address}}; };
    json::object document{{"role", "direct"},
                          {"name", "entry-0"},
                          {"dataCentre", "dc"},
                          {"caller", listener("127.0.0.1:1")},
                          {"readiness", listener("127.0.0.1:2")},
                          {"admin", listener("127.0.0.1:3")},
                          {"peer", "127.0.0.1:4"},
                          {"peerKey", "0123456789abcdef"},
                          {"store", "127.0.0.1:5"}};
    const auto plain = parseSettings(json::serialize(document));
    BOOST_REQUIRE(plain.has_value());
    BOOST_TEST((plain->direct.scheduling == SchedulingOptions{}));
    document["scheduling"] = {{"fleetView", true}, {"lateIsServed", true}, {"appointments", true}};
    const auto all = parseSettings(json::serialize(document));
    BOOST_REQUIRE(all.has_value());
    BOOST_TEST((all->direct.scheduling == SchedulingOptions{true, true, true}));
    document["scheduling"] = {{"appointments", true}};
    const auto faulty = parseSettings(json::serialize(document));
    BOOST_REQUIRE(!faulty.has_value());
    BOOST_TEST(faulty.error().front().message == "needs fleetView");
}

BOOST_AUTO_TEST_CASE(eachBadDocumentNamesItsFault)
{
    BOOST_REQUIRE_GE(badSettings().size(), 25U);
    for (const BadSettings &bad : badSettings()) {
        json::object document = bad.entry ? validEntry() : validUpstream();
        document[bad.key] = bad.value;
        const auto settings = parseSettings(json::serialize(document));
        BOOST_TEST_CONTEXT(bad.path << ": " << bad.message)
        {
            BOOST_REQUIRE(!settings);
            const DocumentFault expected{bad.path, bad.message};
            BOOST_TEST((std::ranges::find(settings.error(), expected) != settings.error().end()),
                       toString(settings.error()));
        }
    }
}

BOOST_AUTO_TEST_CASE(allFaultsOfADocumentAreReported)
{
    json::object document = validEntry();
    document["threads"] = 0;
    document["colour"] = "red";
    const auto settings = parseSettings(json::serialize(document));
    BOOST_REQUIRE(!settings);
    BOOST_TEST(settings.error().size() == 2U);
}

BOOST_AUTO_TEST_CASE(brokenJsonIsRefused)
{
    BOOST_TEST(!parseSettings("{").has_value());
    BOOST_TEST(!parseSettings("[]").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FleetConfigTest)

BOOST_AUTO_TEST_CASE(exactlyOnePresetIsInForce)
{
    const auto config = parseFleetConfig(json::serialize(validConfig()), 5);
    BOOST_REQUIRE(config);
    BOOST_TEST((*config)->preset().name == "ordinary");
    BOOST_TEST((*config)->generation == 5U);
    json::object document = validConfig();
    document["presetInForce"] = "holiday";
    BOOST_TEST(configFaults(document).front().path == "presetInForce");
    document.erase("presetInForce");
    BOOST_TEST(configFaults(document).front().message == "is required");
}

BOOST_AUTO_TEST_CASE(tiersMustAgreeOverPresets)
{
    json::object document = validConfig();
    document["presets"].as_object()["peak"].as_object()["tiers"] =
        json::array{json::object{{"name", "batch"}}, json::object{{"name", "live"}}};
    BOOST_TEST(configFaults(document).front().path == "presets.peak.tiers");
}

BOOST_AUTO_TEST_CASE(editsKeepTheDocumentValid)
{
    const std::string text = json::serialize(validConfig());
    const auto edited = parseFleetConfig(
        withChange(withMark(withPreset(text, "peak"), "up-1", Mark::Leave), "id-1"), 2);
    BOOST_REQUIRE(edited);
    BOOST_TEST((*edited)->presetInForce == "peak");
    BOOST_TEST(((*edited)->mark("up-1") == Mark::Leave));
    BOOST_TEST((*edited)->changes.back() == "id-1");
}

BOOST_AUTO_TEST_CASE(changesAreBounded)
{
    std::string text = json::serialize(validConfig());
    for (int i = 0; i < 100; ++i)
        text = withChange(text, "id-" + std::to_string(i));
    const auto config = parseFleetConfig(text, 1);
    BOOST_REQUIRE(config);
    BOOST_TEST((*config)->changes.size() == 64U);
    BOOST_TEST((*config)->changes.back() == "id-99");
}

BOOST_AUTO_TEST_CASE(routesWithoutAnEntryAreNotIdempotent)
{
    json::object document = validConfig();
    document["services"] = json::object{
        {"booking",
         json::object{{"routes", json::array{json::object{
                                     {"method", "GET"}, {"path", "/"}, {"idempotent", true}}}}}}};
    const auto config = parseFleetConfig(json::serialize(document), 1);
    BOOST_REQUIRE(config);
    BOOST_TEST((*config)->isIdempotent("booking", "GET", "/slots"));
    BOOST_TEST(!(*config)->isIdempotent("booking", "POST", "/slots"));
    BOOST_TEST(!(*config)->isIdempotent("unknown", "GET", "/"));
}

BOOST_AUTO_TEST_SUITE_END()
