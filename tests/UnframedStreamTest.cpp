#include "model/UnframedServer.h"
#include "support/SmallFleet.h"

#include <string>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::UnframedServer;

namespace {

constexpr int okStatus = 200;
constexpr std::string_view lastChunk = "0\r\n\r\n";

/// One entry in front of an upstream whose streams have neither a length nor chunks.
struct UnframedUpstream : SmallFleet
{
    UnframedUpstream()
        : SmallFleet(0, 0)
        , server(context(), 0)
    {
        listAt("unframed", server.port(), {});
        startEntry();
    }

    UnframedServer server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UnframedStreamSuite, UnframedUpstream)

BOOST_AUTO_TEST_CASE(streamThatEndsWithItsConnectionIsComplete)
{
    const std::string answer = get(0, "/stream/x", "q1");
    BOOST_TEST(responseStatus(answer) == okStatus);
    BOOST_TEST(answer.find("id: 5\n") != std::string::npos);
    BOOST_TEST(answer.ends_with(lastChunk));
}

// A killed process closes its connections like one that has finished.
BOOST_AUTO_TEST_CASE(streamCutBetweenEventsByAKilledUpstreamIsNotComplete)
{
    server.eventsBeforeCrash = 2;
    const std::string answer = get(0, "/stream/x", "q1");
    BOOST_TEST(answer.find("id: 2\n") != std::string::npos);
    BOOST_TEST(!answer.ends_with(lastChunk));
}

BOOST_AUTO_TEST_SUITE_END()
