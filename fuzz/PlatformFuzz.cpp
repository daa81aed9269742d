#include "FuzzTarget.h"

#include "fleet/ListingProgress.h"
#include "peer/EntryMessageCodec.h"
#include "platform/ConfigDecoder.h"
#include "platform/HeaderCodec.h"
#include "platform/JsonText.h"
#include "platform/StoreClient.h"
#include "platform/UpstreamDecoder.h"
#include "serving/ConfigCheck.h"
#include "serving/EventScanner.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <set>

#include <boost/json.hpp>

using namespace tamarack;

namespace {

constexpr std::string_view peerKey = "0123456789abcdef";

void check(bool holds)
{
    if (!holds)
        std::abort();
}

/// Decodes the text as store objects, which other software may write with any content.
void fuzzStoreObjects(std::string_view text)
{
    platform::decodeChanges(text, 1, [](const platform::StoreEvent &) {});
    platform::decodeObject(text);
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error)
        return;
    if (const auto config = platform::decodeConfig(value)) {
        for (const Route &route : (*config)->routes) {
            check(!route.services.empty() && route.timeout.count() >= 0);
            check(!chooseService(route, route.name.size()).empty() || route.services.size() == 1);
        }
        (*config)->route("h", "/a/");
        check(compareConfigs(**config, **config).empty() || !checkConfig(**config).empty());
    }
    if (const auto upstream = platform::decodeUpstream("i", value))
        check(upstream->slots > 0 && upstream->endpoint.port != 0);
}

/// A string that the parser accepts is decoded alike; of others, only that it ends.
void fuzzString(const std::string &text)
{
    const auto decoded = platform::decodeString(text);
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    const bool isBare = text.starts_with('"') && text.ends_with('"');
    if (!error && value.is_string() && isBare)
        check(decoded == std::string(value.get_string()));
}

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    for (std::size_t from = 0; from <= text.size();) {
        const std::size_t end = std::min(text.find(separator, from), text.size());
        parts.emplace_back(text.substr(from, end - from));
        from = end + 1;
    }
    return parts;
}

/// Takes the lines of the text as the answers of a store, over and over: a refusal, or the names of
/// a page, that more pages follow or not.
void fuzzListing(std::string_view text)
{
    using State = ListingProgress::State;
    constexpr char refusal = '!';
    constexpr char lastPage = '.';
    ListingProgress progress;
    std::set<std::string> used;
    std::set<std::string> listed;
    const std::vector<std::string> lines = split(text, '\n');
    for (std::size_t i = 0;; ++i) {
        const std::string &line = lines[i % lines.size()];
        const bool refused = line.starts_with(refusal);
        const bool more = !line.starts_with(lastPage);
        const auto names = line.empty() ? std::vector<std::string>() : split(line, ',');
        if (!refused)
            listed.insert(names.begin(), names.end());
        const State state = refused ? progress.handleRefusal() : progress.handlePage(names, more);
        check((state == State::Whole) == (!refused && !more));
        if (state != State::Unfinished)
            return;
        check(progress.after() && listed.contains(*progress.after()));
        check(used.insert(*progress.after()).second);
    }
}

/// Decodes the lines of the text as headers of a client's request and of an upstream's response.
void fuzzHeaders(std::string_view text)
{
    HttpHeaders headers;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        const auto colon = std::min(line.find(':'), line.size());
        headers.emplace_back(line.substr(0, colon), line.substr(std::min(colon + 1, line.size())));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    if (const auto facts = platform::decodeRequest(headers)) {
        check(!facts->deadline || facts->deadline->count() >= 0);
        check(!findHeader(facts->forwarded, "Api-Key"));
        check(!findHeader(facts->forwarded, "Transfer-Encoding"));
    }
    const auto limit = platform::decodeAnswer(200, headers).statement.limitPerSecond;
    check(!limit || (std::isfinite(*limit) && *limit >= 0));
    const auto closedFor = platform::decodeAnswer(503, headers).statement.closedFor;
    check(!closedFor || closedFor->count() >= 0);
}

/// The scanner returns a prefix of the stream, the same one however the input is split.
void fuzzEventScanner(std::string_view text)
{
    EventScanner whole;
    const std::string expected(whole.feed(text));
    check(text.starts_with(expected));
    EventScanner pieces;
    std::string got;
    constexpr std::size_t pieceSize = 3;
    for (std::size_t at = 0; at < text.size(); at += pieceSize)
        got += pieces.feed(text.substr(at, pieceSize));
    check(got == expected);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    fuzzStoreObjects(text);
    fuzzString(std::string(text));
    fuzzString('"' + std::string(text) + '"');
    fuzzListing(text);
    fuzzHeaders(text);
    fuzzEventScanner(text);
    openMessage(text, peerKey);
    return 0;
}

std::vector<std::string> fuzzSeeds()
{
    EntryLoad load;
    load.name = "entry-1";
    load.loads = {{1, {2, 300}}};
    load.demand = {{"models", 1, 7, 3}};
    load.quotas = {{"w", 12345.5}};
    return {
        sealMessage(load, peerKey),
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"streaming",)"
        R"("timeoutMs":3000,"targetLatencyMs":800,"priority":1,"service":"s","maxAttempts":2,)"
        R"("weightedClusters":[{"service":"s","weight":90}]}],"services":[{"name":"s",)"
        R"("engine":{"slots":6,"stride":4}}],"tenants":[{"name":"w","apiKeys":["k"],)"
        R"("ratePerS":100.5,"burst":300}],"limits":{"maxBodyBytes":5}})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":6,"state":"ready","born":5})",
        R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a","revision":4}}}],"currentRev":9})",
        "Host:h\nRequest-Id:r1\nDeadline-Ms:5000\nApi-Key:k\nToken-Usage:1460,80\n"
        "Prompt-Prefix:5c1e07a2:800,e4:250\nConnection:close, Model\nKeep-Alive:timeout=5\n"
        "Replica-Load:3,0,8\nServer-Limit:3.9\nServer-Leaving:1\nRetry-After:1.5\nTransfer-"
        "Encoding:chunked\nLast-"
        "Event-Id:4",
        R"({"metadata":{"name":"a\ud800%#","revision":4,"createRevision":3},"spec":{"odd":true}})",
        R"(a\"\\\/\b\f\n\r\t\u0000\u00e9\u07ff\u0800\uffff\ud83c\udf32\uDBFF\uDFFF)",
        R"("a\ud800b\udc00\ud800\u0041\ud800")",
        "\"a\xC3\xA9\xF0\x9F\x8C\xB2\"",
        "a,b\nc,d\n!\nb,d,e\n!\n!\n.f",
        "a,b%,c\n!\n!\n,\xED\xA0\x80,a\n!\nz",
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: x\n\n"};
}
