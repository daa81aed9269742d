#include "config/Settings.h"
#include "peer/EntryMessageCodec.h"
#include "platform/RolloutDecoder.h"

#include <string>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
namespace json = boost::json;

namespace {

const std::string key = "0123456789abcdef";

Result<RolloutOrder> decode(const std::string &spec, const std::string &status)
{
    const std::string text =
        R"({"metadata": {"name": "models", "revision": 9, "createRevision": 7},)"
        R"( "spec": )"
        + spec + R"(, "status": )" + status + "}";
    return platform::decodeRollout(*platform::decodeObject(text));
}

EntryLoad loadWith(const RolloutEvidence &evidence)
{
    EntryLoad load;
    load.name = "entry-1";
    load.rollouts = {{"models", "v2", 7, 9, RolloutVerdict::Good, milliseconds(1200),
                      milliseconds(30), evidence},
                     {"app", "v3", 8, 8, RolloutVerdict::Bad, milliseconds(1), std::nullopt, {}}};
    return load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutCodecSuite)

BOOST_AUTO_TEST_CASE(ordersAndTheirStatus)
{
    const std::string spec = R"({"service": "models", "to": "v2", "durationS": 1.5})";
    const auto order = decode(spec, "null");
    BOOST_REQUIRE(order);
    BOOST_TEST((*order
                == RolloutOrder{"models", "models", "v2", milliseconds(1500), 7, 9,
                                RolloutState::Ordered}));
    for (const RolloutState state :
         {RolloutState::Running, RolloutState::Completed, RolloutState::RolledBack}) {
        const std::string status = json::serialize(platform::encodeRolloutStatus(*order, state));
        BOOST_TEST((decode(spec, status)->state == state));
    }
    // The status of an order that has been changed since.
    BOOST_TEST(
        (decode(spec, R"({"state": "completed", "to": "v1"})")->state == RolloutState::Ordered));
    for (const char *odd :
         {"7", "[]", "{}", R"({"state": 3, "to": "v2"})", R"({"state": "paused", "to": "v2"})"})
        BOOST_TEST((decode(spec, odd)->state == RolloutState::Ordered));
}

BOOST_AUTO_TEST_CASE(oddOrdersAreNoOrders)
{
    for (const char *spec :
         {"null", "[]", R"({"to": "v2", "durationS": 14})",
          R"({"service": "models", "durationS": 14})", R"({"service": "models", "to": "v2"})",
          R"({"service": "", "to": "v2", "durationS": 14})",
          R"({"service": "models", "to": 2, "durationS": 14})",
          R"({"service": "models", "to": "v2", "durationS": "14"})",
          R"({"service": "models", "to": "v2", "durationS": 0})",
          R"({"service": "models", "to": "v2", "durationS": -1})",
          R"({"service": "models", "to": "v2", "durationS": 1e300})"})
        BOOST_TEST(!decode(spec, "null"));
}

BOOST_AUTO_TEST_CASE(reportsRoundTrip)
{
    const EntryLoad load = loadWith({{{true, 2, 30, 4, 5}, {false, 1, 9, 0, 0}}, 3, 1ULL << 63});
    const auto opened = openMessage(sealMessage(load, key), key);
    BOOST_REQUIRE(opened);
    BOOST_TEST((std::get<EntryLoad>(*opened) == load));
}

BOOST_AUTO_TEST_CASE(impossibleReportsAreLeftOut)
{
    const EntryLoad load = loadWith({{{true, 2, 3, 4, 0}}, 0, 0});
    const auto opened = openMessage(sealMessage(load, key), key);
    BOOST_REQUIRE(opened);
    BOOST_REQUIRE(std::get<EntryLoad>(*opened).rollouts.size() == 1);
    BOOST_TEST(std::get<EntryLoad>(*opened).rollouts[0].service == "app");
}

BOOST_AUTO_TEST_CASE(settingsGroup)
{
    json::object document{{"role", "direct"},
                          {"name", "e"},
                          {"dataCentre", "dc"},
                          {"caller", json::object{{"address", "127.0.0.1:8080"}}},
                          {"readiness", json::object{{"address", "127.0.0.1:8082"}}},
                          {"admin", json::object{{"address", "127.0.0.1:8081"}}},
                          {"peer", "127.0.0.1:9001"},
                          {"peerKey", key},
                          {"store", "127.0.0.1:9002"}};
    BOOST_TEST(!parseSettings(json::serialize(document))->direct.rollouts);
    document["rollouts"] =
        json::object{{"exposeShare", 0.2}, {"exposeSlack", 50}, {"rollbackMs", 4000}};
    const auto bounds = parseSettings(json::serialize(document))->direct.rollouts;
    BOOST_REQUIRE(bounds);
    BOOST_TEST(bounds->exposeShare == 0.2);
    BOOST_TEST(bounds->exposeSlack == 50);
    BOOST_TEST(bounds->rollback.count() == 4000);
    document["rollouts"] = json::object{{"exposeShare", 1.5}};
    BOOST_TEST(!parseSettings(json::serialize(document)));
}

BOOST_AUTO_TEST_SUITE_END()
