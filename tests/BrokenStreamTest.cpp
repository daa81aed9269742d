#include "support/SmallFleet.h"

#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::UpstreamMode;

namespace {

constexpr int okStatus = 200;
constexpr std::string_view lastChunk = "0\r\n\r\n";

/// One entry before two upstreams that break each stream off after two events.
struct UpstreamsThatBreakOff : SmallFleet
{
    UpstreamsThatBreakOff()
        : SmallFleet(1, upstreamCount)
    {
        // Fills the retry budget.
        for (int i = 0; i < 100; ++i)
            get(0, "/read/x", "fill" + std::to_string(i));
    }

    /// Lets both upstreams serve requests until the entry has forgotten their failures.
    void recover()
    {
        setMode(UpstreamMode::Normal);
        for (int i = 0; i < 30; ++i) {
            get(0, "/read/x", "recover" + std::to_string(i));
            std::this_thread::sleep_for(milliseconds(50));
        }
    }

    void setMode(UpstreamMode mode)
    {
        for (std::size_t i = 0; i < upstreamCount; ++i)
            upstream(i).mode = mode;
    }

    static constexpr std::size_t upstreamCount = 2;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BrokenStreamSuite, UpstreamsThatBreakOff)

// A stream broke off, and the next upstream responded with an error that ended it as complete.
BOOST_AUTO_TEST_CASE(errorBehindABrokenStreamDoesNotCompleteIt)
{
    for (const int status : {404, 410, 400, 302, 204, 500, okStatus}) {
        for (std::size_t i = 0; i < upstreamCount; ++i)
            upstream(i).resumptionStatus = status;
        recover();
        setMode(UpstreamMode::AbortsConnection);
        const std::string id = "q" + std::to_string(status);
        const std::string answer = get(0, "/stream/" + id, id);
        BOOST_TEST_CONTEXT("status " << status)
        {
            BOOST_TEST(responseStatus(answer) == okStatus);
            BOOST_TEST(answer.find("id: 2\n") != std::string::npos);
            BOOST_TEST(answer.find("error text") == std::string::npos);
            BOOST_TEST(!answer.ends_with(lastChunk));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
