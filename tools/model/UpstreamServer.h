#pragma once

#include "http/HttpServer.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace tamarack::standin {

/// How the upstream stand-in answers.
enum class UpstreamMood {
    Well,
    /// Ends a stream in the middle of its third event, or any other answer before its head.
    Breaks,
    /// Ends a stream in the middle of its third event, with the last chunk of a whole answer.
    EndsInEvent,
    /// Refuses without running.
    NotExecuted,
    Fails,
    Hangs,
    Unsigned,
    AnswersAnother,
};

/// Serves requests as the users' platform's upstreams do, with faults on demand. Streams have
/// `streamEvents` events.
class UpstreamServer
{
public:
    /// Port 0 stands for any.
    UpstreamServer(boost::asio::io_context &context, unsigned short port, std::string id);

    unsigned short port() const;

    std::vector<HttpRequest> seen() const;

    std::atomic<UpstreamMood> mood{UpstreamMood::Well};
    /// Requests a second that its answers name as its limit; negative: they name none.
    std::atomic<double> limitPerSecond{-1};
    /// Its answers say that it leaves.
    std::atomic<bool> leaving{false};
    /// Turns requests away and wants none for so long; 0: takes them.
    std::atomic<double> closedForSeconds{0};
    std::atomic<bool> clientGone{false};
    std::atomic<int> eventPauseMs{0};
    /// Before an answer that does not stream.
    std::atomic<int> workMs{0};
    /// Called on the server's thread for each request that it runs.
    std::function<void(const HttpRequest &)> onRun;
    /// Called for each request that comes.
    std::function<void(const HttpRequest &)> onArrival;
    /// Called for each request that it turns away because it is closed, with the time it names.
    std::function<void(const HttpRequest &, Duration)> onTurnedAway;

    static constexpr int streamEvents = 5;

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    boost::asio::awaitable<void> stream(HttpExchange &exchange, HttpHeaders headers);

    std::string m_id;
    mutable std::mutex m_mutex;
    std::vector<HttpRequest> m_seen;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace tamarack::standin
