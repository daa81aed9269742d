#include "support/SmallFleet.h"

#include <algorithm>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::UpstreamMode;

namespace {

constexpr int okStatus = 200;
constexpr std::string_view lastChunk = "0\r\n\r\n";

using Events = std::vector<std::string>;

std::string event(const std::string &id)
{
    return "id: " + id + "\ndata: piece-" + id + "\n\n";
}

Events events(const std::string &ids)
{
    Events list;
    std::ranges::transform(ids, std::back_inserter(list),
                           [](char id) { return event(std::string(1, id)); });
    return list;
}

/// Events 1 and 2, `odd`, and the rest of a stream.
Events withThird(const std::string &odd)
{
    Events list = events("12");
    list.push_back(odd);
    list.push_back(event("4"));
    list.push_back(event("5"));
    return list;
}

/// The ids of the events in a response, of one digit each.
std::string idsIn(const std::string &answer)
{
    constexpr std::string_view field = "id: ";
    std::string ids;
    for (auto at = answer.find(field); at != std::string::npos; at = answer.find(field, at + 1))
        ids += answer.at(at + field.size());
    return ids;
}

bool isWhole(const std::string &answer)
{
    return answer.ends_with(lastChunk);
}

/// One entry before two upstreams whose streams have five events.
struct ScriptedUpstreams : SmallFleet
{
    ScriptedUpstreams()
        : SmallFleet(1, upstreamCount)
    {}

    /// Lets both upstreams write `first` as a new stream and `next` as the rest of one; the usual
    /// events if there is none.
    void script(const std::optional<Events> &first, const std::optional<Events> &next)
    {
        std::promise<void> done;
        boost::asio::post(context(), [&] {
            for (std::size_t i = 0; i < upstreamCount; ++i)
                upstream(i).scriptedEvents = [first, next](int after) {
                    return after == 0 ? first : next;
                };
            done.set_value();
        });
        done.get_future().wait();
    }

    void setMode(UpstreamMode mode)
    {
        for (std::size_t i = 0; i < upstreamCount; ++i)
            upstream(i).mode = mode;
    }

    /// Reads a stream after the entry has forgotten earlier failures of the upstreams.
    std::string readStream(const std::string &headers = "", const std::string &path = "")
    {
        constexpr int requestsForRetryBudget = 30;
        const UpstreamMode mode = upstream(0).mode.load();
        setMode(UpstreamMode::Normal);
        for (int i = 0; i < requestsForRetryBudget; ++i) {
            get(0, "/read/x", "fill" + std::to_string(m_requests++));
            std::this_thread::sleep_for(milliseconds(40));
        }
        setMode(mode);
        const std::string id = "q" + std::to_string(m_requests++);
        return get(0, "/stream/" + (path.empty() ? id : path), id, headers);
    }

    static constexpr std::size_t upstreamCount = 2;

private:
    int m_requests = 0;
};

/// Streams that are out of order from their third event on.
const std::vector<std::pair<std::string, Events>> oddStreams{
    {"gap", events("1245")},
    {"repeated id", events("122345")},
    {"id that goes back", events("1212345")},
    {"event without id", withThird("data: piece\n\n")},
    {"id that is no number", withThird(event("x3"))},
    {"id that only begins with a number", withThird(event("3x"))},
    {"id beyond 64 bits", withThird(event("30000000000000000000000"))},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamSequenceSuite, ScriptedUpstreams)

// Guards against issue 49: events were forwarded in whatever order an upstream wrote them.
BOOST_AUTO_TEST_CASE(eventsOutOfOrderInAFirstAnswerDoNotReachTheClient)
{
    for (const auto &[name, stream] : oddStreams)
        BOOST_TEST_CONTEXT(name)
        {
            script(stream, events(""));
            const std::string answer = readStream();
            BOOST_TEST(idsIn(answer) == "12");
            BOOST_TEST(!isWhole(answer));
        }
}

BOOST_AUTO_TEST_CASE(streamGoesOnElsewhereBehindEventsOutOfOrder)
{
    for (const auto &[name, stream] : oddStreams)
        BOOST_TEST_CONTEXT(name)
        {
            script(stream, std::nullopt);
            const std::string answer = readStream();
            BOOST_TEST(idsIn(answer) == "12345");
            BOOST_TEST(isWhole(answer));
        }
}

BOOST_AUTO_TEST_CASE(firstEventOfANewStreamIsTheFirst)
{
    script(events("2345"), std::nullopt);
    const std::string answer = readStream();
    BOOST_TEST(idsIn(answer).empty());
    BOOST_TEST(responseStatus(answer) != okStatus);
}

// Guards against issue 49: a stream broke off, and the next upstream's events were joined to it
// with a gap, or with ids that went back.
BOOST_AUTO_TEST_CASE(eventsOutOfOrderBehindABrokenStreamDoNotReachTheClient)
{
    setMode(UpstreamMode::AbortsConnection);
    const std::vector<std::pair<Events, std::string>> continuations{
        {events("45"), "12"},
        {events("3345"), "123"},
        {events("34345"), "1234"},
        {events("3435"), "1234"},
        {withThird("data: piece\n\n"), "12"},
    };
    for (const auto &[next, expected] : continuations) {
        script(std::nullopt, next);
        const std::string answer = readStream();
        BOOST_TEST(idsIn(answer) == expected);
        BOOST_TEST(!isWhole(answer));
    }
}

BOOST_AUTO_TEST_CASE(eventsThatTheClientHasAreDroppedBehindABrokenStream)
{
    setMode(UpstreamMode::AbortsConnection);
    script(std::nullopt, events("12345"));
    const std::string answer = readStream();
    BOOST_TEST(idsIn(answer) == "12345");
    BOOST_TEST(isWhole(answer));
}

// Guards against issue 49: a stream that had broken off ended as complete because the next
// upstream's response had no event.
BOOST_AUTO_TEST_CASE(responseWithoutEventsDoesNotCompleteABrokenStream)
{
    setMode(UpstreamMode::AbortsConnection);
    script(std::nullopt, events(""));
    const std::string answer = readStream();
    BOOST_TEST(idsIn(answer) == "12");
    BOOST_TEST(!isWhole(answer));
}

BOOST_AUTO_TEST_CASE(newStreamWithoutEventsIsNotComplete)
{
    script(events(""), std::nullopt);
    const std::string answer = readStream();
    BOOST_TEST(!(responseStatus(answer) == okStatus && isWhole(answer)));
}

BOOST_AUTO_TEST_CASE(streamTakenUpGoesOnBehindTheEventsOfItsClient)
{
    const std::string id = "first";
    leaveAfter(0, "/stream/" + id, id, "id: 2\n");
    const std::string headers = "Resumes: " + id + "\r\nLast-Event-Id: 2\r\n";
    script(std::nullopt, events("12345"));
    const std::string repeated = readStream(headers, id);
    BOOST_TEST(idsIn(repeated) == "345");
    BOOST_TEST(isWhole(repeated));
    script(std::nullopt, events("45"));
    const std::string gap = readStream(headers, id);
    BOOST_TEST(idsIn(gap).empty());
    BOOST_TEST(!(responseStatus(gap) == okStatus && isWhole(gap)));
}

BOOST_AUTO_TEST_SUITE_END()
