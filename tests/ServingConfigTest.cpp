#include "serving/ServingConfig.h"

#include "platform/ConfigDecoder.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
namespace json = boost::json;

namespace {

json::value published()
{
    return json::parse(R"({"version":7,"unknown":{"a":1},"routes":[
        {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"streaming","timeoutMs":3000,
         "targetLatencyMs":800,"priority":1,"service":"models","maxAttempts":2,"public":false,
         "sticky":true,"resumeStreams":true,"gapAimMs":200},
        {"name":"r2","host":"a.example","pathPrefix":"/x/y/","kind":"non_idempotent",
         "timeoutMs":1500,"targetLatencyMs":300,"priority":2,"maxAttempts":1,"public":true,
         "weightedClusters":[{"service":"models","weight":90},{"service":"app","weight":10}]}],
        "services":[{"name":"models","maxConnections":360,"engine":{"slots":6,"kvTokens":1000}},
                    {"name":"app","maxConnections":100}],
        "limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeoutMs":30,"idleTimeoutMs":40},
        "tenants":[{"name":"w1","apiKeys":["k1","k2"],"priority":1,"unit":"tokens",
                    "plainTokens":200,"ratePerS":100.5,"burst":300}]})");
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServingConfigSuite)

BOOST_AUTO_TEST_CASE(decodesEveryPart)
{
    const auto decoded = platform::decodeConfig(published());
    BOOST_REQUIRE(decoded);
    const ServingConfig &config = **decoded;
    BOOST_TEST(config.version == 7U);
    BOOST_REQUIRE(config.routes.size() == 2U);
    const Route &stream = config.routes[0];
    BOOST_TEST((stream.kind == RequestKind::Stream));
    BOOST_TEST(stream.timeout.count() == 3000);
    BOOST_TEST(stream.objective.count() == 800);
    BOOST_TEST(stream.eventGapObjective.count() == 200);
    BOOST_TEST(static_cast<int>(stream.tier) == 1);
    BOOST_TEST(stream.maxAttempts == 2);
    BOOST_TEST(stream.affinity);
    BOOST_TEST(stream.resumable);
    BOOST_TEST(!stream.isPublic);
    BOOST_TEST(config.routes[1].isPublic);
    BOOST_TEST(config.routes[1].services.size() == 2U);
    BOOST_TEST(config.service("models")->engine->slots == 6);
    BOOST_TEST(!config.service("app")->engine);
    BOOST_TEST(config.limits.headerBytes == 1000U);
    BOOST_TEST(config.limits.idleTimeout.count() == 40);
    const Workspace *workspace = config.workspaceOf("k2");
    BOOST_REQUIRE(workspace);
    BOOST_TEST(workspace->name == "w1");
    BOOST_TEST((workspace->unit == QuotaUnit::Tokens));
    BOOST_TEST(workspace->defaultCost == 200.0);
    BOOST_TEST(workspace->rate == 100.5);
    BOOST_TEST(config.workspaceOf("k3") == nullptr);
}

BOOST_AUTO_TEST_CASE(theLongestMatchingPrefixIsSelected)
{
    const auto config = *platform::decodeConfig(published());
    BOOST_TEST(config->route("a.example", "/x/y/z")->name == "r2");
    BOOST_TEST(config->route("a.example", "/x/yz")->name == "r1");
    BOOST_TEST(config->route("a.example", "/x") == nullptr);
    BOOST_TEST(config->route("b.example", "/x/y/") == nullptr);
}

BOOST_AUTO_TEST_CASE(weightsSplitRequests)
{
    const auto config = *platform::decodeConfig(published());
    const Route &route = config->routes[1];
    int models = 0;
    for (std::uint64_t draw = 0; draw < 100; ++draw)
        models += chooseService(route, draw) == "models" ? 1 : 0;
    BOOST_TEST(models == 90);
}

BOOST_AUTO_TEST_CASE(numbersOutOfRangeAreClamped)
{
    json::value document = published();
    json::object &first = document.at("routes").at(0).as_object();
    first["timeoutMs"] = 1e300;
    first["targetLatencyMs"] = -5;
    first["maxAttempts"] = std::uint64_t(1) << 40U;
    document.at("tenants").at(0).as_object()["ratePerS"] = -1e300;
    document.at("routes").at(1).at("weightedClusters").at(0).as_object()["weight"] = 1e300;
    const auto config = platform::decodeConfig(document);
    BOOST_REQUIRE(config);
    const Route &route = (*config)->routes[0];
    BOOST_TEST(route.timeout.count() == 86'400'000);
    BOOST_TEST(route.objective.count() == 0);
    BOOST_TEST(route.maxAttempts == 1'000'000);
    BOOST_TEST((*config)->workspaces[0].rate == 0.0);
    BOOST_TEST((*config)->routes[1].services[0].weight == 1'000'000'000U);
}

BOOST_AUTO_TEST_CASE(errorsStateWhatIsInvalid)
{
    const std::vector<std::pair<std::string, std::string>> bad{
        {"[]", "is no object"},
        {"{}", "lacks its version"},
        {R"({"version":-1})", "lacks its version"},
        {R"({"version":1,"routes":[3]})", "a route is no object"},
        {R"({"version":1,"routes":[{"name":"r"}]})", "lacks host"},
        {R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"new"}]})",
         "unknown kind new"},
        {R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"idempotent"}]})",
         "names no service"},
        {R"({"version":1,"services":[{}]})", "a service lacks its name"},
        {R"({"version":1,"tenants":[{"name":3}]})", "a workspace lacks its name"}};
    for (const auto &[text, message] : bad) {
        const auto decoded = platform::decodeConfig(json::parse(text));
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_REQUIRE(!decoded);
            BOOST_TEST((decoded.error().kind == ErrorKind::InvalidConfig));
            BOOST_TEST(decoded.error().message.find(message) != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
