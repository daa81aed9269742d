#include "platform/HeaderCodec.h"
#include "platform/JsonText.h"
#include "platform/StoreClient.h"
#include "platform/UpstreamDecoder.h"

#include <algorithm>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
namespace json = boost::json;

namespace {

bool has(const HttpHeaders &headers, std::string_view name)
{
    return findHeader(headers, name).has_value();
}

HttpHeaders clientHeaders()
{
    return {{"Host", "a.example"},
            {"request-id", "r1"},
            {"Deadline-Ms", "5000"},
            {"Api-Key", "secret"},
            {"Model", "m"},
            {"Token-Usage", "1460,80"},
            {"Prompt-Prefix", "5c1e07a2:800,e4402b7d:250"},
            {"Last-Event-Id", "12"},
            {"X-Own", "kept"}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformCodecSuite)

BOOST_AUTO_TEST_CASE(decodesRequest)
{
    const auto facts = platform::decodeRequest(clientHeaders());
    BOOST_REQUIRE(facts);
    BOOST_TEST(facts->id == "r1");
    BOOST_TEST(facts->host == "a.example");
    BOOST_TEST(facts->deadline->count() == 5000);
    BOOST_TEST(facts->key == "secret");
    BOOST_TEST(*facts->promptTokens == 1460U);
    BOOST_TEST(facts->outputTokens == 80U);
    BOOST_TEST(*facts->resumeAfter == 12U);
    BOOST_REQUIRE(facts->promptParts.size() == 2U);
    BOOST_TEST(facts->promptParts[1].id == 0xe4402b7dU);
    BOOST_TEST(facts->promptParts[1].tokens == 250U);
    BOOST_TEST(has(facts->forwarded, "X-Own"));
    BOOST_TEST(has(facts->forwarded, "Prompt-Prefix"));
}

BOOST_AUTO_TEST_CASE(dropsApiKeyAndSystemHeaders)
{
    HttpHeaders headers = clientHeaders();
    for (const char *name : {"Tenant-Id", "Expect-Replica", "Kv-Hold", "Pin-Ms", "Kv-Backup",
                             "Kv-From", "Kv-Fetch", "Connection", "Transfer-Encoding"})
        headers.emplace_back(name, "1");
    const auto facts = platform::decodeRequest(headers);
    BOOST_REQUIRE(facts);
    for (const char *name :
         {"Api-Key", "Tenant-Id", "Expect-Replica", "Kv-Hold", "Pin-Ms", "Kv-Backup", "Kv-From",
          "Kv-Fetch", "Connection", "Transfer-Encoding", "Deadline-Ms", "Last-Event-Id"})
        BOOST_TEST(!has(facts->forwarded, name), name);
}

BOOST_AUTO_TEST_CASE(dropsDeclaredHopByHopHeadersExceptPromptHeaders)
{
    HttpHeaders headers = clientHeaders();
    headers.emplace_back("Connection", "X-Own, Model, Token-Usage");
    const auto facts = platform::decodeRequest(headers);
    BOOST_REQUIRE(facts);
    BOOST_TEST(!has(facts->forwarded, "X-Own"));
    BOOST_TEST(has(facts->forwarded, "Model"));
    BOOST_TEST(has(facts->forwarded, "Token-Usage"));
}

BOOST_AUTO_TEST_CASE(badRequestNamesInvalidHeader)
{
    HttpHeaders headers = clientHeaders();
    for (const char *bad : {"nan", "inf", "-1", "1e999", ""}) {
        headers[2].second = bad;
        BOOST_TEST(!platform::decodeRequest(headers), bad);
    }
    headers[2].second = "soon";
    BOOST_TEST(platform::decodeRequest(headers).error().message.find("Deadline-Ms")
               != std::string::npos);
    BOOST_TEST(platform::decodeRequest({{"Host", "a"}}).error().message.find("Request-Id")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(encodesDispatchHeaders)
{
    const auto facts = platform::decodeRequest(clientHeaders());
    platform::DispatchFacts dispatch;
    dispatch.upstreamId = "i-1";
    dispatch.timeLeft = milliseconds(321);
    dispatch.workspace = "w1";
    dispatch.resumeAfter = 40;
    const HttpHeaders headers = platform::encodeDispatch(*facts, dispatch);
    BOOST_TEST(*findHeader(headers, "Expect-Replica") == "i-1");
    BOOST_TEST(*findHeader(headers, "Deadline-Ms") == "321");
    BOOST_TEST(*findHeader(headers, "Tenant-Id") == "w1");
    BOOST_TEST(*findHeader(headers, "Last-Event-Id") == "40");
    BOOST_TEST(
        std::ranges::count(headers, std::string("Last-Event-Id"), &HttpHeaders::value_type::first)
        == 1);
}

BOOST_AUTO_TEST_CASE(decodesAnswers)
{
    const HttpHeaders headers{{"Request-Id", "r1"},      {"Server-Signature", "s"},
                              {"Replica-Load", "3,1,8"}, {"Keep-Alive", "timeout=5, max=9"},
                              {"Connection", "close"},   {"X-Own", "kept"}};
    const ResponseFacts answer = platform::decodeAnswer(200, headers);
    BOOST_TEST(answer.requestId == "r1");
    BOOST_TEST(answer.hasSignature);
    BOOST_TEST(answer.closing);
    BOOST_TEST(answer.keepAlive->count() == 5000);
    BOOST_REQUIRE(answer.occupancy.has_value());
    BOOST_TEST(answer.occupancy->running == 3);
    BOOST_TEST(answer.occupancy->waiting == 1);
    BOOST_TEST(answer.occupancy->slots == 8);
    BOOST_TEST(!answer.occupancy->pace.has_value());
    BOOST_TEST(has(answer.forwarded, "X-Own"));
    BOOST_TEST(has(answer.forwarded, "Server-Signature"));
    BOOST_TEST(!has(answer.forwarded, "Keep-Alive"));
    BOOST_TEST(platform::decodeAnswer(503, {{"Not-Executed", "1"}}).notExecuted);
    BOOST_TEST(platform::decodeAnswer(421, {}).misdirected);
    BOOST_TEST(platform::decodeAnswer(200, {{"content-encoding", "gzip"}}).encoded);
}

BOOST_AUTO_TEST_CASE(decodesUpstreamLimit)
{
    const auto statement = [](const std::string &limit) {
        return platform::decodeAnswer(200, {{"Server-Limit", limit}}).statement;
    };
    BOOST_TEST(!platform::decodeAnswer(200, {}).statement.limitPerSecond);
    BOOST_TEST(*statement("3.9").limitPerSecond == 3.9);
    BOOST_TEST(*statement(" 0 ").limitPerSecond == 0);
    for (const char *bad : {"", "-1", "nan", "inf", "1e999", "3 a second", "0x3"}) {
        BOOST_TEST(!statement(bad).limitPerSecond, bad);
        BOOST_TEST(statement(bad).malformed, bad);
    }
    // The header is also forwarded to the client.
    BOOST_TEST(has(platform::decodeAnswer(200, {{"Server-Limit", "2"}}).forwarded, "Server-Limit"));
}

BOOST_AUTO_TEST_CASE(decodesUpstreamLeaving)
{
    const auto statement = [](const std::string &value) {
        return platform::decodeAnswer(503, {{"Server-Leaving", value}}).statement;
    };
    BOOST_TEST(statement("1").leaving);
    BOOST_TEST(statement(" 1").leaving);
    BOOST_TEST(!statement("0").leaving);
    BOOST_TEST(!statement("0").malformed);
    for (const char *bad : {"", "yes", "11", "-1"}) {
        BOOST_TEST(!statement(bad).leaving, bad);
        BOOST_TEST(statement(bad).malformed, bad);
    }
}

BOOST_AUTO_TEST_CASE(decodesRetryAfter)
{
    const auto statement = [](const std::string &value, int status = 503) {
        return platform::decodeAnswer(status, {{"Retry-After", value}}).statement;
    };
    BOOST_TEST(statement("1.5").closedFor->count() == 1500);
    BOOST_TEST(statement("0").closedFor->count() == 0);
    BOOST_TEST(statement("1e300").closedFor->count() == 1'000'000'000);
    BOOST_TEST(!statement("1.5", 429).closedFor);
    for (const char *bad : {"", "-1", "nan", "inf", "Fri, 04 Dec 2026 12:00:00 GMT"}) {
        BOOST_TEST(!statement(bad).closedFor, bad);
        BOOST_TEST(statement(bad).malformed, bad);
    }
}

BOOST_AUTO_TEST_CASE(decodesUpstreamsAndRejectsInvalidEntries)
{
    const auto entry = json::parse(
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":6,"state":"ready","born":5})");
    const auto record = platform::decodeUpstream("i-1", entry);
    BOOST_REQUIRE(record);
    BOOST_TEST(record->slots == 6);
    BOOST_TEST(record->born == 5U);
    BOOST_TEST(!record->draining);
    for (const char *bad :
         {"3", "{}", R"({"service":"s","address":"10.0.0.9:80","slots":6,"state":"gone"})",
          R"({"service":"s","address":"nowhere","slots":6,"state":"ready"})",
          R"({"service":7,"address":"10.0.0.9:80","slots":6,"state":"ready"})",
          R"({"service":"s","address":"10.0.0.9:80","slots":0,"state":"ready"})",
          R"({"service":"s","address":"10.0.0.9:80","slots":"6","state":"ready"})"})
        BOOST_TEST(!platform::decodeUpstream("i-1", json::parse(bad)), bad);
}

BOOST_AUTO_TEST_CASE(readsTheStartFromReportsAndIgnoresOddOnes)
{
    BOOST_TEST(platform::decodeReportedStart(R"({"stage":"colocated","born":1785})").value_or(0)
               == 1785U);
    const std::string deep = std::string(100'000, '[');
    for (const std::string &odd :
         {std::string(), std::string("{"), std::string("[1785]"),
          std::string(R"({"stage":"colocated"})"), std::string(R"({"born":"1785"})"),
          std::string(R"({"born":-1})"), std::string(R"({"born":1e999})"), deep})
        BOOST_TEST(!platform::decodeReportedStart(odd), odd.substr(0, 40));
}

BOOST_AUTO_TEST_CASE(decodesStoreChanges)
{
    std::vector<platform::StoreEvent> events;
    const platform::EventVisitor visit = [&](platform::StoreEvent event) {
        events.push_back(std::move(event));
    };
    const auto changes = platform::decodeChanges(
        R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a","revision":4},"spec":null}},
            {"deleted":false,"object":{"metadata":{},"spec":1}}, 7],"currentRev":9})",
        3, visit);
    BOOST_REQUIRE(changes);
    BOOST_TEST((changes->position == StorePosition{3, 9}));
    BOOST_TEST(changes->events == 1U);
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST(events[0].deleted);
    BOOST_TEST(events[0].object.revision == 4U);
    BOOST_TEST(!platform::decodeChanges(R"({"events":[]})", 3, visit));
    BOOST_TEST(events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(splitsJsonTextWithoutReadingValues)
{
    const auto members =
        platform::splitObject(R"( {"a" : [1, {"b":"]}\""}] , "c":1e999, "d":nonsense,"e":""} )");
    BOOST_REQUIRE(members);
    BOOST_REQUIRE(members->size() == 4U);
    BOOST_TEST(platform::memberValue(*members, "a") == R"([1, {"b":"]}\""}])");
    BOOST_TEST(platform::memberValue(*members, "c") == "1e999");
    BOOST_TEST(platform::memberValue(*members, "d") == "nonsense");
    BOOST_TEST(platform::memberValue(*members, "e") == R"("")");
    BOOST_TEST(platform::memberValue(*members, "f").empty());
    BOOST_TEST(platform::splitObject("{}")->empty());
    BOOST_TEST(platform::splitArray("[ ]")->empty());
    BOOST_TEST(platform::splitArray(R"([1,"x",[[]]])")->size() == 3U);
    for (const char *bad : {"", "{", "[]", "{\"a\"}", "{\"a\":}", "{\"a\":1", "{\"a\":1,}",
                            "{\"a\":[}", "{\"a\":1}x", "{\"a\":\"", "{a:1}"})
        BOOST_TEST(!platform::splitObject(bad), bad);
    for (const char *bad : {"", "[", "{}", "[1", "[1,]", "[1 2]", "[]]", "[\"]"})
        BOOST_TEST(!platform::splitArray(bad), bad);
}

BOOST_AUTO_TEST_CASE(decodesStringsThatParsersRefuse)
{
    using namespace std::string_literals;
    const std::vector<std::pair<std::string, std::string>> texts = {
        {"", ""},
        {R"(\"\\\/\b\f\n\r\t)", "\"\\/\b\f\n\r\t"},
        {R"(a\u0000b)", "a\0b"s},
        {"a\0b"s, "a\0b"s},
        {R"(\u0041\u00e9\u00E9\u20ac)", "A\xC3\xA9\xC3\xA9\xE2\x82\xAC"},
        {R"(\u007f\u0080\u07ff\u0800\uffff)", "\x7F\xC2\x80\xDF\xBF\xE0\xA0\x80\xEF\xBF\xBF"},
        {R"(\ud83c\udf32\uD800\uDC00\udbff\udfff)",
         "\xF0\x9F\x8C\xB2\xF0\x90\x80\x80\xF4\x8F\xBF\xBF"},
        {R"(\ud800)", "\xED\xA0\x80"},
        {R"(\udfffa)", "\xED\xBF\xBF"
                       "a"},
        {R"(\udc00\ud800)", "\xED\xB0\x80\xED\xA0\x80"},
        {R"(\ud800\ud83c\udf32)", "\xED\xA0\x80\xF0\x9F\x8C\xB2"},
        {R"(\ud800\n\ud800\u0041)", "\xED\xA0\x80\n\xED\xA0\x80"
                                    "A"},
        {"\xFF\xC3\xED\xA0\x80", "\xFF\xC3\xED\xA0\x80"}};
    for (const auto &[text, meaning] : texts) {
        const auto decoded = platform::decodeString('"' + text + '"');
        BOOST_TEST((decoded == meaning), text);
    }
}

BOOST_AUTO_TEST_CASE(refusesMalformedStrings)
{
    for (const char *bad : {"",
                            "\"",
                            "a",
                            "\"a",
                            "a\"",
                            "'a'",
                            "null",
                            R"("\")",
                            R"("a\")",
                            R"("\x")",
                            R"("\u")",
                            R"("\u12")",
                            R"("\u12g4")",
                            R"("\u-123")",
                            R"("\u+123")",
                            R"("\u 123")",
                            R"("\u0x12")",
                            R"("\U0041")",
                            R"("\ud800\u")",
                            R"("\ud800\udc0")",
                            R"("\ud800\")"})
        BOOST_TEST(!platform::decodeString(bad), bad);
}

BOOST_AUTO_TEST_SUITE_END()
