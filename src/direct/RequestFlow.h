#pragma once

#include "direct/TrafficState.h"
#include "http/HttpServer.h"
#include "serving/AttemptPolicy.h"
#include "serving/EventScanner.h"
#include "serving/RequestFacts.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// One request of a client at a direct entry, from its arrival to the end of its answer: route,
/// key, quota, wait, attempts at upstreams. Lives on the traffic thread.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    RequestFlow(TrafficState &state, HttpExchange &exchange);

    boost::asio::awaitable<void> run();

private:
    enum class Stop : std::uint8_t { None, ClientGone, TimedOut };

    /// A refusal that is decided before the request waits.
    struct Denial
    {
        ErrorKind kind = ErrorKind::Internal;
        Duration retryAfter{};
    };

    std::optional<Denial> admit();
    std::optional<Denial> findRoute();
    std::optional<Denial> checkKey();
    std::optional<Denial> chargeQuota();
    void startClocks();
    void stop(Stop reason);

    boost::asio::awaitable<void> serve();
    /// False when the request ends without an upstream; it has been answered.
    boost::asio::awaitable<bool> waitForUpstream();
    void releaseUpstream();
    /// Ends a request whose wait ended without an upstream.
    boost::asio::awaitable<void> answerUnserved(ErrorKind reason, Duration retryAfter);
    QueuedRequest queuedRequest() const;
    /// Events that the answer probably has after its first.
    std::uint32_t expectedEvents() const;
    boost::asio::awaitable<AttemptEnd> attempt();
    boost::asio::awaitable<AttemptEnd> sendAndRead();
    boost::asio::awaitable<std::shared_ptr<UpstreamConnection>> connect();
    HttpRequest upstreamRequest();
    /// Reads heads until one answers this request.
    boost::asio::awaitable<AttemptEnd> readAnswer();
    boost::asio::awaitable<bool> skipAnswer();
    AttemptEnd judgeHead(int status) const;
    boost::asio::awaitable<AttemptEnd> relayStream();
    boost::asio::awaitable<AttemptEnd> readWhole(AttemptEnd meaning);
    boost::asio::awaitable<bool> forward(std::string_view events);
    void finishConnection(AttemptEnd end);
    void learn(AttemptEnd end);
    HealthSign healthSign(AttemptEnd end) const;
    void noteFirstToken();

    /// Decides what follows an attempt; true when the request goes on.
    boost::asio::awaitable<bool> conclude(AttemptEnd end);
    boost::asio::awaitable<void> answerStopped();
    boost::asio::awaitable<void> answerError(ErrorKind kind, Duration retryAfter);
    boost::asio::awaitable<void> deliver();
    void logEnd(std::string_view outcome, int status);

    Duration timeLeft() const;
    bool isStream() const { return m_route.kind == RequestKind::Stream; }

    TrafficState &m_state;
    HttpExchange &m_exchange;
    RequestFacts m_facts;
    Route m_route;
    std::string m_service;
    std::string m_workspace;
    TierRank m_tier = 0;
    std::uint64_t m_configVersion = 0;
    double m_charged = 0;
    RequestFingerprint m_fingerprint = 0;
    TimePoint m_arrivedAt;
    TimePoint m_endAt{};
    Duration m_elapsed{};
    boost::asio::steady_timer m_endTimer;
    Stop m_stop = Stop::None;

    Ticket m_ticket = 0;
    std::shared_ptr<QueueWait> m_wait;
    Duration m_waited{};
    std::optional<Assignment> m_assignment;
    std::vector<UpstreamKey> m_tried;
    std::shared_ptr<UpstreamConnection> m_connection;
    bool m_reusedConnection = false;
    TimePoint m_sentAt{};
    TimePoint m_firstTokenAt{};
    std::uint32_t m_expectedEvents = 0;
    std::optional<Duration> m_firstToken;
    bool m_prefillCounted = false;

    UpstreamHead m_head;
    AnswerFacts m_answer;
    std::string m_body;
    EventScanner m_events;
    bool m_answerStarted = false;
    bool m_mayHaveRun = false;
    int m_upstreamsRun = 0;
    int m_sends = 0;
};

} // namespace tamarack
