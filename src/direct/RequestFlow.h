#pragma once

#include "direct/HedgedAttempt.h"
#include "direct/ResponseRelay.h"
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

/// Handles one client request at a direct entry from arrival to the end of the response: routing,
/// API key check, quota, queueing and attempts at upstreams. Runs on the traffic thread.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    RequestFlow(TrafficState &state, HttpExchange &exchange);

    boost::asio::awaitable<void> run();

private:
    enum class StopReason : std::uint8_t { None, ClientGone, TimedOut };

    std::optional<Denial> admit();
    RequestParts parts() const;
    /// Refunds the quota charged for a request that was never sent.
    void refundQuota();
    /// Makes the quota charge final, because a request that is sent may be processed.
    void commitQuota();
    void startTimers();
    void armDeadline();
    void stop(StopReason reason);

    boost::asio::awaitable<void> serve();
    /// Queues the request until an upstream is assigned. Returns false when none was assigned; the
    /// request has then ended, if possible with an error response.
    boost::asio::awaitable<bool> waitForUpstream();
    /// Whether the request must not be sent, because it may crash upstreams.
    bool isQuarantined() const;
    /// Whether the client resumes a stream.
    bool resumesStream() const { return isStream() && m_facts.resumeAfter.has_value(); }
    /// The key of the stream whose first event the client's attempt `requestId` brought.
    StreamKey streamKey(std::string_view requestId) const;
    /// Finds out what began the stream that the client resumes.
    boost::asio::awaitable<void> findOrigin();
    /// Why the request must not be sent now; none if it may.
    std::optional<Denial> sendDenial() const;
    /// The version at which all streams of the route began, also those that no entry knows.
    SoleVersion soleVersion() const;
    /// As above, after upstreams that may have restarted were asked what they are.
    boost::asio::awaitable<SoleVersion> checkedSoleVersion();
    /// Why the stream that the client resumes is refused as unknown; none if it may go on.
    std::optional<Denial> unknownStreamDenial() const;
    /// Why a stream cannot go on; none if it can, or if it is new.
    std::optional<Denial> continuationDenial() const;
    void releaseUpstream();
    void logRefusal(const QueueRefusal &refusal) const;
    /// Responds to a request that left the queue without an upstream.
    boost::asio::awaitable<void> respondUnassigned(ErrorKind reason, Duration retryAfter);
    QueuedRequest queuedRequest() const;
    /// Expected number of events in the response after the first one; 0 if it is not a stream.
    std::uint32_t expectedEvents() const;
    boost::asio::awaitable<AttemptEnd> attempt();
    /// Under which terms the coming attempt may be hedged; none if it may not.
    std::optional<HedgedAttempt::Terms> hedgeTerms() const;
    /// Takes over the outcome of a hedge.
    void recordHedge();
    /// Records that the attempt that does not count broke off at this upstream.
    void recordBroken(const UpstreamPtr &upstream);
    /// Updates the upstream's health, crash and failure records from the ended attempt.
    void recordAttempt(AttemptEnd end);
    /// Records what the ended attempt shows of the upstream's software version.
    void recordRolloutAnswer(AttemptEnd end, Duration took);
    HealthSignal healthSign(AttemptEnd end) const;

    /// Retries, delivers or refuses after an attempt. Returns true when another attempt follows.
    boost::asio::awaitable<bool> handleAttemptEnd(AttemptEnd end);
    /// Reserves a retry in the service's budget; returns false if the budget is exhausted.
    bool reserveRetry();
    /// Gives back the reservation of a retry that was not sent.
    void releaseRetry();
    boost::asio::awaitable<void> respondStopped();
    boost::asio::awaitable<void> respondError(ErrorKind kind, Duration retryAfter);
    boost::asio::awaitable<void> deliver();
    void logEnd(std::string_view outcome, int status);

    Duration timeLeft() const;
    QueueRank rank() const { return queueRank(m_admitted.tier, m_admitted.route.tier); }
    bool isStream() const { return m_admitted.route.kind == RequestKind::Stream; }

    TrafficState &m_state;
    HttpExchange &m_exchange;
    ResponseRelay m_relay;
    RequestFacts m_facts;
    AdmittedRequest m_admitted;
    TimePoint m_readAt;
    /// Estimated time at which the request reached the socket: `m_readAt` less the estimated time
    /// for which it lay unread.
    TimePoint m_arrivedAt;
    TimePoint m_deadlineAt{};
    /// `m_deadlineAt`, or the end of a planned stop.
    TimePoint m_endsBy{};
    Duration m_sinceFirstAttempt{};
    boost::asio::steady_timer m_deadlineTimer;
    StopReason m_stopReason = StopReason::None;

    Ticket m_ticket = 0;
    std::shared_ptr<QueueWait> m_wait;
    Duration m_waited{};
    std::uint32_t m_expectedEvents = 0;
    std::optional<Assignment> m_assignment;
    /// The most recent attempt.
    std::shared_ptr<HedgedAttempt> m_hedged;
    /// Its attempt that counts.
    UpstreamAttempt *m_attempt = nullptr;
    bool m_wasHedged = false;
    bool m_hedgeWon = false;
    std::vector<UpstreamKey> m_tried;
    std::optional<Duration> m_firstToken;
    bool m_mayHaveRun = false;
    /// What wrote the first event of the stream; none while it has no events.
    std::optional<StreamOrigin> m_origin;
    /// No entry knows the origin, but all streams of the service began at its version.
    bool m_isOriginInferred = false;
    int m_upstreamsRun = 0;
    int m_sends = 0;
    /// The retry budget holds a token for the next send.
    bool m_retryReserved = false;
    /// The request was queued as this entry's turn at a new software version.
    bool m_isRolloutTurn = false;
};

} // namespace tamarack
