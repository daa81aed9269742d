#include "control/IfMatch.h"
#include "entry/CallerRequest.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

FleetConfig config()
{
    FleetConfig config;
    config.presetInForce = "normal";
    Preset preset;
    preset.tiers = {{"live", 10, milliseconds(1000), milliseconds(500)}};
    config.presets.emplace("normal", preset);
    config.workspaces.emplace("w", WorkspacePolicy{1, "live", "live"});
    config.models = {"m"};
    return config;
}

Result<Submission> completion(const std::string &bound)
{
    const HttpRequest request{
        "POST", "/v1/completions", {}, R"({"model":"m","prompt":"p","max_tokens":)" + bound + "}"};
    return parseCallerRequest(request, "w", config());
}

} // namespace

BOOST_AUTO_TEST_SUITE(OwnInterfaceSuite)

BOOST_AUTO_TEST_CASE(aBoundOfTokensMustBePositive)
{
    for (const char *bad : {"-1", "0", "1.5", "\"7\"", "true"}) {
        const auto parsed = completion(bad);
        BOOST_REQUIRE(!parsed);
        BOOST_TEST((parsed.error().kind == ErrorKind::BadRequest));
        BOOST_TEST(parsed.error().message.starts_with("max_tokens:"));
    }
    BOOST_TEST(completion("7")->outputTokens == 7U);
    BOOST_TEST(completion("null")->outputTokens > 0U);
    BOOST_TEST(completion("18446744073709551615")->outputTokens == 1'000'000U);
}

BOOST_AUTO_TEST_CASE(anyTextThatIsNoCurrentGenerationIsAConflict)
{
    const auto parse = [](const std::string &text) {
        return parseIfMatch({"PUT", "/", {{"If-Match", text}}, ""});
    };
    BOOST_TEST(parse("7")->value() == 7U);
    BOOST_TEST(parse("\"7\"")->value() == 7U);
    BOOST_TEST(!parseIfMatch({"PUT", "/", {}, ""})->has_value());
    for (const char *text : {"abc", "*", "7x", "", "-1"})
        BOOST_TEST(errorAnswer(parse(text).error().kind).httpStatus == 412);
}

BOOST_AUTO_TEST_SUITE_END()
