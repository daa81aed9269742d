#pragma once

#include "http/HttpServer.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::standin {

/// How the upstream stand-in responds to requests.
enum class UpstreamMode {
    Normal,
    /// Aborts the connection: in a stream, in the middle of its third event; in any other response,
    /// before its head.
    AbortsConnection,
    /// Ends a stream in the middle of its third event, but with the final chunk, so that the HTTP
    /// response is complete.
    EndsMidEvent,
    /// Refuses requests without running them, with the `Not-Executed` header.
    NotExecuted,
    Fails,
    Hangs,
    Unsigned,
    WrongRequestId,
};

/// Serves requests as the users' platform's upstreams do and injects faults on demand. Streams
/// have `streamEvents` events.
class UpstreamServer
{
public:
    /// Port 0 selects any free port.
    UpstreamServer(boost::asio::io_context &context, unsigned short port, std::string id);

    unsigned short port() const;

    std::vector<HttpRequest> receivedRequests() const;

    /// Closes connections that are idle for this long, without stating it.
    void closeIdleAfter(milliseconds idle);

    std::atomic<UpstreamMode> mode{UpstreamMode::Normal};
    /// Limit in requests per second that responses state; negative: responses state none.
    std::atomic<double> limitPerSecond{-1};
    /// Whether responses state that the upstream is shutting down.
    std::atomic<bool> leaving{false};
    /// If not 0, refuses all requests and states this time in `Retry-After`.
    std::atomic<double> closedForSeconds{0};
    /// Start of its process, in its report on itself; 0: it has no report.
    std::atomic<std::uint64_t> born{0};
    std::atomic<int> reportDelayMs{0};
    /// If not 0, the status of a response to a request that resumes a stream, which is not run.
    std::atomic<int> resumptionStatus{0};
    std::atomic<bool> clientGone{false};
    std::atomic<int> eventPauseMs{0};
    /// Delay before a response that is not a stream.
    std::atomic<int> workMs{0};
    /// Bytes that are appended to the body of a response that is not a stream.
    std::atomic<std::size_t> answerBytes{0};
    /// Version of its software, which the events of its streams name; empty: they do not. Set on
    /// the server's thread.
    std::string softwareVersion;
    /// Returns the events of a stream that begins after the event `after`, instead of the usual
    /// ones; none: the usual ones. Set on the server's thread.
    std::function<std::optional<std::vector<std::string>>(int after)> scriptedEvents;
    /// Called on the server's thread for each request that the server runs.
    std::function<void(const HttpRequest &)> onRun;
    /// Called for each request received, before it is run or refused.
    std::function<void(const HttpRequest &)> onArrival;
    /// Called for each request refused because of `closedForSeconds`, with the time stated.
    std::function<void(const HttpRequest &, Duration)> onRefused;

    static constexpr int streamEvents = 5;

    /// Path of the health check, which is neither counted as received nor run.
    static constexpr std::string_view healthPath = "/healthz";
    /// Path of the report, which is not counted either.
    static constexpr std::string_view reportPath = "/report";

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    boost::asio::awaitable<void> respondHealth(HttpExchange &exchange);
    boost::asio::awaitable<void> respondReport(HttpExchange &exchange);
    boost::asio::awaitable<void> stream(HttpExchange &exchange, HttpHeaders headers);

    std::string m_id;
    mutable std::mutex m_mutex;
    std::vector<HttpRequest> m_receivedRequests;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace tamarack::standin
