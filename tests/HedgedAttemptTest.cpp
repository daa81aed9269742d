#include "support/DirectEntry.h"
#include "support/Eventually.h"
#include "support/SmallFleet.h"

#include <algorithm>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::DirectEntry;
using tamarack::harness::eventually;
using tamarack::harness::exchangeBytes;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::UpstreamMode;
using tamarack::standin::UpstreamServer;

namespace {

constexpr int okStatus = 200;
constexpr double share = 0.2;

/// An entry that hedges a fifth of its requests, before two upstreams. It has measured enough
/// responses to know which are slow.
struct HedgingFleet : SmallFleet
{
    explicit HedgingFleet(double hedgeShare = share)
        : SmallFleet(0, 2)
    {
        Settings settings = DirectEntry::makeSettings("entry-0", "dc", store().port());
        settings.direct.hedgeShare = hedgeShare;
        entry.start(settings);
        BOOST_REQUIRE(eventually([this] { return entry.readiness() == okStatus; }));
        for (int i = 0; i < 120; ++i)
            BOOST_REQUIRE(responseStatus(send("GET", "/read/x", "warm-" + std::to_string(i)))
                          == okStatus);
    }

    std::string send(const std::string &method, const std::string &path, const std::string &id)
    {
        return exchangeBytes(entry.callerPort(),
                             method + " " + path
                                 + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                                 + "\r\nDeadline-Ms: 2500\r\nContent-Length: 0"
                                   "\r\nConnection: close\r\n\r\n");
    }

    /// Number of times that the upstream has received the request.
    std::ptrdiff_t received(std::size_t number, const std::string &id)
    {
        const auto requests = upstream(number).receivedRequests();
        return std::ranges::count_if(requests, [&](const HttpRequest &request) {
            return findHeader(request.headers, "Request-Id") == id;
        });
    }

    DirectEntry entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HedgedAttemptSuite)

BOOST_AUTO_TEST_CASE(aSecondUpstreamAnswersForOneThatHangs)
{
    HedgingFleet fleet;
    fleet.upstream(0).mode = UpstreamMode::Hangs;
    int atBoth = 0;
    for (int i = 0; i < 6; ++i) {
        const std::string id = "slow-" + std::to_string(i);
        BOOST_TEST(responseStatus(fleet.send("GET", "/read/x", id)) == okStatus);
        BOOST_TEST(fleet.received(0, id) <= 1);
        BOOST_TEST(fleet.received(1, id) == 1);
        atBoth += fleet.received(0, id) == 1 ? 1 : 0;
    }
    BOOST_TEST(atBoth > 0);
    BOOST_TEST(eventually([&] { return fleet.upstream(0).clientGone.load(); }));
}

BOOST_AUTO_TEST_CASE(aStreamBeginsAtTheUpstreamThatIsFirst)
{
    HedgingFleet fleet;
    fleet.upstream(0).mode = UpstreamMode::Hangs;
    for (int i = 0; i < 4; ++i) {
        const std::string answer = fleet.send("GET", "/stream/x", "stream-" + std::to_string(i));
        BOOST_TEST(responseStatus(answer) == okStatus);
        std::size_t position = 0;
        for (int event = 1; event <= UpstreamServer::streamEvents; ++event) {
            const std::string line = "id: " + std::to_string(event) + "\n";
            const std::size_t found = answer.find(line, position);
            BOOST_TEST(found != std::string::npos);
            BOOST_TEST(answer.find(line, found + 1) == std::string::npos);
            position = found;
        }
        BOOST_TEST(answer.ends_with("0\r\n\r\n"));
    }
}

BOOST_AUTO_TEST_CASE(aNonIdempotentRequestIsSentOnce)
{
    HedgingFleet fleet;
    fleet.upstream(0).mode = UpstreamMode::Hangs;
    for (int i = 0; i < 2; ++i) {
        const std::string id = "write-" + std::to_string(i);
        fleet.send("POST", "/write/x", id);
        BOOST_TEST(fleet.received(0, id) + fleet.received(1, id) == 1);
    }
}

BOOST_AUTO_TEST_CASE(withoutAShareNothingIsSentTwice)
{
    HedgingFleet fleet(0);
    fleet.upstream(0).workMs = 600;
    fleet.upstream(1).workMs = 600;
    for (int i = 0; i < 4; ++i) {
        const std::string id = "slow-" + std::to_string(i);
        BOOST_TEST(responseStatus(fleet.send("GET", "/read/x", id)) == okStatus);
        BOOST_TEST(fleet.received(0, id) + fleet.received(1, id) == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
