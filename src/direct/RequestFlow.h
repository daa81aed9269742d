#pragma once

#include "direct/AnswerRelay.h"
#include "direct/TrafficState.h"
#include "direct/UpstreamAttempt.h"
#include "http/HttpServer.h"
#include "serving/Admission.h"
#include "serving/AttemptPolicy.h"
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

    std::optional<Denial> admit();
    RequestParts parts() const;
    /// Gives back what is charged for a request that was never sent.
    void giveQuotaBack();
    /// The charge counts from now on: what is sent may arrive.
    void countQuotaSent();
    void startClocks();
    void stop(Stop reason);

    boost::asio::awaitable<void> serve();
    /// False when the request ends without an upstream; it has been answered.
    boost::asio::awaitable<bool> waitForUpstream();
    void releaseUpstream();
    void logRefusal(const QueueRefusal &refusal) const;
    /// Ends a request whose wait ended without an upstream.
    boost::asio::awaitable<void> answerUnserved(ErrorKind reason, Duration retryAfter);
    QueuedRequest queuedRequest() const;
    /// Events that the answer probably has after its first.
    std::uint32_t expectedEvents() const;
    boost::asio::awaitable<AttemptEnd> attempt();
    /// Takes over what the ended attempt shows of its upstream.
    void learn(AttemptEnd end);
    HealthSignal healthSign(AttemptEnd end) const;

    /// Decides what follows an attempt; true when the request goes on.
    boost::asio::awaitable<bool> conclude(AttemptEnd end);
    boost::asio::awaitable<void> answerStopped();
    boost::asio::awaitable<void> answerError(ErrorKind kind, Duration retryAfter);
    boost::asio::awaitable<void> deliver();
    void logEnd(std::string_view outcome, int status);

    Duration timeLeft() const;
    QueueRank rank() const { return queueRank(m_admitted.tier, m_admitted.route.tier); }
    bool isStream() const { return m_admitted.route.kind == RequestKind::Stream; }

    TrafficState &m_state;
    HttpExchange &m_exchange;
    AnswerRelay m_relay;
    RequestFacts m_facts;
    AdmittedRequest m_admitted;
    TimePoint m_readAt;
    /// When its bytes have probably come.
    TimePoint m_arrivedAt;
    TimePoint m_endAt{};
    Duration m_elapsed{};
    boost::asio::steady_timer m_endTimer;
    Stop m_stop = Stop::None;

    Ticket m_ticket = 0;
    std::shared_ptr<QueueWait> m_wait;
    Duration m_waited{};
    std::uint32_t m_expectedEvents = 0;
    std::optional<Assignment> m_assignment;
    /// The latest attempt.
    std::optional<UpstreamAttempt> m_attempt;
    std::vector<UpstreamKey> m_tried;
    std::optional<Duration> m_firstToken;
    bool m_mayHaveRun = false;
    int m_upstreamsRun = 0;
    int m_sends = 0;
};

} // namespace tamarack
