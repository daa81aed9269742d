#include "serving/StopWindow.h"
#include "process/Timers.h"
#include "support/DirectEntry.h"
#include "support/SmallFleet.h"

#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr int okStatus = 200;
constexpr int notRunStatus = 503;
constexpr milliseconds workTime{1200};
/// An entry that is stopped ends this long after the signal: its grace period less a reserve.
constexpr milliseconds timeToEnd{4300};

struct SlowUpstream : SmallFleet
{
    SlowUpstream()
        : SmallFleet(1, 1)
    {
        upstream(0).workMs = static_cast<int>(workTime.count());
    }

    /// Sends the head of a request at once and its body after `delay`, and returns the response.
    std::string post(std::string_view path, const std::string &requestId, milliseconds delay) const
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), entry(0).callerPort()});
        const std::string head = "POST " + std::string(path)
                                 + " HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 2900\r\n"
                                   "Content-Length: 4\r\nRequest-Id: "
                                 + requestId + "\r\n\r\nbo";
        asio::write(socket, asio::buffer(head));
        std::this_thread::sleep_for(delay);
        asio::write(socket, asio::buffer("dy", 2));
        std::string received;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(received), error);
        return received;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StopWindowSuite, SlowUpstream)

// Requests that came late in the grace period of a stop were sent and cut at its end.
BOOST_AUTO_TEST_CASE(requestThatCannotBeServedBeforeTheStopEndsIsNotSent)
{
    BOOST_REQUIRE(responseStatus(get(0, "/write/x", "learn")) == okStatus);
    const std::size_t before = upstream(0).receivedRequests().size();
    std::vector<std::jthread> clients;
    std::vector<std::string> late(6);
    std::vector<std::string> early(6);
    std::vector<TimePoint> answeredAt(early.size());
    const TimePoint start = steadyNow();
    for (std::size_t i = 0; i < late.size(); ++i) {
        const milliseconds step(i * 100);
        clients.emplace_back([&, i, step] {
            late[i] = post("/write/x", "late" + std::to_string(i), milliseconds(3300) + step);
        });
        clients.emplace_back([&, i, step] {
            early[i] = post("/write/x", "early" + std::to_string(i), milliseconds(1500) + step);
            answeredAt[i] = steadyNow();
        });
    }
    std::this_thread::sleep_for(milliseconds(100));
    drainEntry(0);
    clients.clear();
    for (const std::string &answer : late) {
        BOOST_TEST(responseStatus(answer) == notRunStatus);
        BOOST_TEST(answer.find("not-run") != std::string::npos);
    }
    for (std::size_t i = 0; i < early.size(); ++i) {
        BOOST_TEST(responseStatus(early[i]) == okStatus);
        BOOST_TEST((answeredAt[i] < start + timeToEnd));
    }
    BOOST_TEST(upstream(0).receivedRequests().size() == before + early.size());
}

// The upstream takes longer than it ever did.
BOOST_AUTO_TEST_CASE(requestThatRunsUntilTheStopEndsIsAnswered)
{
    BOOST_REQUIRE(responseStatus(get(0, "/write/x", "learn")) == okStatus);
    std::jthread stopping([this] {
        std::this_thread::sleep_for(milliseconds(100));
        upstream(0).workMs = 5000;
        drainEntry(0);
    });
    const TimePoint start = steadyNow();
    const std::string answer = post("/write/x", "long", milliseconds(2500));
    BOOST_TEST((steadyNow() - start < timeToEnd));
    BOOST_TEST(answer.find("may-have-run") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(StopWindowDecisionSuite)

BOOST_AUTO_TEST_CASE(requestsAreAdmittedIfTheyEndInTime)
{
    const TimePoint now{std::chrono::seconds(100)};
    const TimePoint end = now + std::chrono::seconds(2);
    const TimePoint late = now + std::chrono::seconds(9);
    StopWindow window;
    BOOST_TEST(window.admits("a", late, now));
    BOOST_TEST((window.cap(late) == late));
    window.recordServed("a", milliseconds(1500));
    window.beginStop(end);
    BOOST_TEST((window.cap(late) == end));
    BOOST_TEST((window.cap(now) == now));
    BOOST_TEST(window.admits("a", late, now));
    BOOST_TEST(!window.admits("a", late, now + milliseconds(501)));
    // A request whose deadline is before the end is not cut by it.
    BOOST_TEST(window.admits("a", end, now + milliseconds(501)));
    // Nothing is known about the route.
    BOOST_TEST(!window.admits("b", late, now));
}

BOOST_AUTO_TEST_SUITE_END()
