#pragma once

#include "direct/AnswerRelay.h"
#include "direct/TrafficState.h"
#include "serving/AttemptPolicy.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace tamarack {

/// What an attempt sends, and to which end.
struct AttemptRequest
{
    const HttpRequest &incoming;
    const RequestFacts &facts;
    std::string workspace;
    TimePoint endAt;
    /// A success is a stream of events.
    bool streams = false;
    /// Nothing has been sent for this request before.
    bool first = true;
};

/// One attempt of a request at the upstream that the queue assigned: connection, send, answer.
/// Events of a stream pass to the client as they come; any other answer is held whole. Learns the
/// upstream's speed from what it sees.
class UpstreamAttempt
{
public:
    UpstreamAttempt(TrafficState &state, const Assignment &assignment, AnswerRelay &relay,
                    AttemptRequest request);

    /// Runs the attempt to its end; afterwards the connection is kept for others or closed.
    boost::asio::awaitable<AttemptEnd> run();
    /// Breaks the attempt off.
    void cancel();

    /// The request was handed to a connection.
    bool sent() const { return m_sent; }
    /// Not sent, as the upstream has said meanwhile that it takes no request.
    bool withheld() const { return m_withheld; }
    bool reusedConnection() const { return m_reusedConnection; }
    bool clientGone() const { return m_clientGone; }
    /// When the first event, or the whole answer, had come.
    std::optional<TimePoint> firstTokenAt() const { return m_firstTokenAt; }
    const HeldAnswer &answer() const { return m_answer; }
    HeldAnswer takeAnswer() { return std::move(m_answer); }

private:
    boost::asio::awaitable<AttemptEnd> sendAndRead();
    boost::asio::awaitable<std::shared_ptr<UpstreamConnection>> connect();
    HttpRequest outgoing() const;
    /// Reads heads until one answers this request.
    boost::asio::awaitable<AttemptEnd> readAnswer();
    boost::asio::awaitable<bool> skipAnswer();
    AttemptEnd judgeHead() const;
    boost::asio::awaitable<AttemptEnd> relayStream();
    boost::asio::awaitable<AttemptEnd> readWhole(AttemptEnd meaning);
    void noteFirstToken();
    void keepOrClose(AttemptEnd end);

    TrafficState &m_state;
    Assignment m_assignment;
    AnswerRelay &m_relay;
    AttemptRequest m_request;
    std::shared_ptr<UpstreamConnection> m_connection;
    HeldAnswer m_answer;
    TimePoint m_sentAt{};
    std::optional<TimePoint> m_firstTokenAt;
    bool m_sent = false;
    bool m_withheld = false;
    bool m_reusedConnection = false;
    bool m_cancelled = false;
    bool m_clientGone = false;
};

} // namespace tamarack
