#include "platform/ConfigDecoder.h"

#include <string>
#include <string_view>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::string_literals;
namespace json = boost::json;

namespace {

ServingConfigPtr configOf(const json::object &workspace, const std::string &healthCheck = "/h")
{
    const json::object other{{"name", "other"}, {"apiKeys", json::array{"o1"}}};
    const auto config = platform::decodeConfig(json::object{
        {"version", 1},
        {"services", json::array{json::object{{"name", "models"}, {"healthCheck", healthCheck}}}},
        {"tenants", json::array{workspace, other}}});
    BOOST_REQUIRE(config);
    return *config;
}

json::object workspaceNamed(const std::string &name)
{
    return {{"name", name}, {"apiKeys", json::array{"k1"}}};
}

/// The path of the health check that the service's configuration names.
std::string healthPath(const std::string &configured)
{
    return configOf(workspaceNamed("w1"), configured)->service("models")->healthCheckPath;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddConfigSuite)

BOOST_AUTO_TEST_CASE(workspaceWhoseNameNoHeaderCarriesHasNoRequests)
{
    for (const std::string &name :
         {""s, "a\r\nX-Injected: 1"s, "a\0b"s, "a\x7f"s, " a"s, "a "s, std::string(20'000, 'a')}) {
        const auto config = configOf(workspaceNamed(name));
        BOOST_TEST(!config->workspaceOf("k1"), json::serialize(json::string(name.substr(0, 40))));
        BOOST_REQUIRE(config->workspaceOf("o1"));
        BOOST_TEST(config->workspaceOf("o1")->name == "other");
        // Without any workspace, requests would need no key.
        BOOST_TEST(config->workspaces.size() == 2U);
    }
    for (const std::string &name : {"w1"s, "two words"s, "caf\u00e9"s, std::string(1024, 'a')})
        BOOST_REQUIRE(configOf(workspaceNamed(name))->workspaceOf("k1"));
}

BOOST_AUTO_TEST_CASE(emptyKeyAdmitsNoRequestWithoutKey)
{
    const json::object workspace{{"name", "w1"}, {"apiKeys", json::array{"", "k1"}}};
    const auto config = configOf(workspace);
    BOOST_TEST(!config->workspaceOf(""));
    BOOST_TEST(config->workspaceOf("k1"));
}

BOOST_AUTO_TEST_CASE(healthCheckPathIsOneTargetOfARequest)
{
    BOOST_TEST(healthPath("/a/b?c=d&e=%20;~") == "/a/b?c=d&e=%20;~");
    BOOST_TEST(healthPath("") == "");
    BOOST_TEST(healthPath("/a b") == "/a%20b");
    BOOST_TEST(healthPath("/a HTTP/1.1\r\nX: 1") == "/a%20HTTP/1.1%0D%0AX:%201");
    BOOST_TEST(healthPath("/a\0\x7f"s) == "/a%00%7F");
    BOOST_TEST(healthPath("/caf\u00e9") == "/caf%C3%A9");
}

BOOST_AUTO_TEST_SUITE_END()
