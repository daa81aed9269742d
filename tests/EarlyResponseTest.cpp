#include "model/EarlyServer.h"
#include "support/SmallFleet.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::exchangeBytes;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::EarlyEnd;
using tamarack::standin::EarlyServer;
namespace asio = boost::asio;

namespace {

constexpr int okStatus = 200;
constexpr std::string_view lastChunk = "0\r\n\r\n";
constexpr std::string_view part = "id: 1\ndata: part\n\n";
constexpr std::size_t uploadBytes = 3 << 20;
constexpr std::array ends{EarlyEnd::Reset, EarlyEnd::Close, EarlyEnd::HalfClose};

enum class Upload { WithLength, InChunks };

std::string upload(std::string_view path, Upload how)
{
    const std::string head = "POST " + std::string(path)
                             + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\nDeadline-Ms: 2000"
                               "\r\nConnection: close\r\n";
    const std::string body(uploadBytes, 'x');
    if (how == Upload::WithLength)
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return head + "Transfer-Encoding: chunked\r\n\r\n300000\r\n" + body + "\r\n0\r\n\r\n";
}

/// One entry in front of an upstream that responds before it has read the request.
struct EarlyUpstream : SmallFleet
{
    EarlyUpstream()
        : SmallFleet(0, 0)
        , server(context(), 0)
    {
        listAt("early", server.port(), {});
        startEntry();
    }

    std::string send(const std::string &request) const
    {
        return exchangeBytes(entry(0).callerPort(), request);
    }

    template <typename Change>
    void change(Change apply)
    {
        asio::post(context(), asio::use_future([apply, this] { apply(server); })).get();
    }

    /// The part that the upstream sent does not pass for a whole response.
    void checkPartIsNotWhole(const std::string &answer, std::string_view what, EarlyEnd end) const
    {
        const bool hasPart = answer.find(part) != std::string::npos;
        const bool isWhole = answer.find("Transfer-Encoding: chunked") == std::string::npos
                             || answer.ends_with(lastChunk);
        BOOST_TEST(!(hasPart && isWhole),
                   what << ", end " << static_cast<int>(end) << ": " << answer);
    }

    /// The client got an error of the entry, which may have stopped asking the upstream by then.
    static void checkNotDelivered(const std::string &answer, std::string_view what)
    {
        constexpr std::array refusals{429, 502, 503};
        const bool isRefusal =
            std::ranges::find(refusals, responseStatus(answer)) != refusals.end();
        BOOST_TEST(isRefusal, what << ": " << answer);
        BOOST_TEST(answer.find("nono") == std::string::npos, what << ": " << answer);
    }

    EarlyServer server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EarlyResponseSuite, EarlyUpstream)

BOOST_AUTO_TEST_CASE(partOfAnUnframedResponseUnderAnUploadIsNotWhole)
{
    for (const EarlyEnd end : ends)
        for (const std::string_view status : {"200 OK", "404 Not Found", "500 Failed"})
            for (const std::string_view path : {"/read/x", "/write/x"})
                for (const Upload how : {Upload::WithLength, Upload::InChunks}) {
                    change([&](EarlyServer &early) {
                        early.status = status;
                        early.body = part;
                        early.end = end;
                    });
                    checkPartIsNotWhole(send(upload(path, how)), status, end);
                }
    BOOST_TEST(server.early > 0);
}

BOOST_AUTO_TEST_CASE(partOfAnUnframedStreamUnderAnUploadIsNotWhole)
{
    for (const EarlyEnd end : ends)
        for (const Upload how : {Upload::WithLength, Upload::InChunks}) {
            change([&](EarlyServer &early) {
                early.fields = "Content-Type: text/event-stream\r\n";
                early.body = part;
                early.end = end;
            });
            checkPartIsNotWhole(send(upload("/stream/x", how)), "stream", end);
        }
    BOOST_TEST(server.early > 0);
}

BOOST_AUTO_TEST_CASE(partOfAnUnframedResponseOnAReusedConnectionIsNotWhole)
{
    for (const EarlyEnd end : ends) {
        change([&](EarlyServer &early) {
            early.body = part;
            early.end = end;
            early.servesFirst = true;
        });
        BOOST_TEST(responseStatus(get(0, "/read/x", "first")) == okStatus);
        checkPartIsNotWhole(send(upload("/write/x", Upload::WithLength)), "reused", end);
    }
    BOOST_TEST(server.early > 0);
}

BOOST_AUTO_TEST_CASE(responseWithoutAValidStatusIsNotDelivered)
{
    for (const std::string_view status :
         {"000 None", "099 Low", "20 Short", "600 High", "999 Top", "2000 Long", "abc", "-20 Sign"})
        for (const std::string_view path : {"/read/x", "/write/x", "/stream/x"}) {
            change([&](EarlyServer &early) {
                early.status = status;
                early.fields = "Content-Length: 4\r\n";
                early.body = "nono";
            });
            const std::string answer = get(0, path, "q");
            checkNotDelivered(answer, status);
        }
}

// A response that states no status is no interim response: what follows it is not the response.
BOOST_AUTO_TEST_CASE(responseBehindAHeadWithoutAValidStatusIsNotDelivered)
{
    for (const std::string_view status : {"000 None", "099 Low"}) {
        change([&](EarlyServer &early) {
            early.status = std::string(status) + "\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK";
            early.fields = "Content-Length: 4\r\n";
            early.body = "nono";
        });
        const std::string answer = get(0, "/read/x", "q");
        checkNotDelivered(answer, status);
    }
}

BOOST_AUTO_TEST_CASE(interimResponsesAreSkipped)
{
    change([&](EarlyServer &early) {
        early.status = "100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK";
        early.fields = "Content-Length: 5\r\n";
        early.body = "whole";
    });
    const std::string answer = get(0, "/read/x", "q");
    BOOST_TEST(responseStatus(answer) == okStatus);
    BOOST_TEST(answer.ends_with("whole"));
}

BOOST_AUTO_TEST_SUITE_END()
