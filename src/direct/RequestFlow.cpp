#include "direct/RequestFlow.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "base/Log.h"
#include "platform/HeaderCodec.h"
#include "process/Timers.h"

#include <algorithm>
#include <array>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

/// With less time than this before the deadline no attempt is made.
constexpr milliseconds minAttemptTime{20};
/// Another entry serves the request; this one takes no new connections.
constexpr milliseconds stoppingRetryAfter{50};
constexpr int okStatus = 200;

std::string fractionalSeconds(Duration duration)
{
    return fmt::format("{:.2f}", std::chrono::duration<double>(duration).count());
}

} // namespace

RequestFlow::RequestFlow(TrafficState &state, HttpExchange &exchange)
    : m_state(state)
    , m_exchange(exchange)
    , m_relay(exchange)
    , m_readAt(steadyNow())
    , m_arrivedAt(m_readAt - state.readLag.estimatedUnreadTime(m_readAt))
    , m_deadlineTimer(state.executor)
{}

asio::awaitable<void> RequestFlow::run()
{
    const auto self = shared_from_this();
    if (const auto denial = admit())
        co_await respondError(denial->kind, denial->retryAfter);
    else
        co_await serve();
    refundQuota();
    releaseRetry();
}

void RequestFlow::refundQuota()
{
    const double pending = std::exchange(m_admitted.charged, 0);
    if (pending > 0)
        m_state.quotas.release(m_admitted.workspace, pending);
}

void RequestFlow::commitQuota()
{
    const double pending = std::exchange(m_admitted.charged, 0);
    if (pending > 0)
        m_state.quotas.commit(m_admitted.workspace, pending, steadyNow());
}

std::optional<Denial> RequestFlow::admit()
{
    auto facts = platform::decodeRequest(m_exchange.request().headers);
    if (!facts)
        return Denial{ErrorKind::BadRequest, {}};
    m_facts = std::move(*facts);
    return m_state.admission.admit(m_state.config.get(), m_facts, parts(), m_admitted, m_readAt,
                                   bootNow());
}

RequestParts RequestFlow::parts() const
{
    const HttpRequest &request = m_exchange.request();
    return {request.path(), request.target, request.body};
}

void RequestFlow::startTimers()
{
    const milliseconds deadline = m_facts.deadline.value_or(m_admitted.route.timeout);
    m_sinceFirstAttempt = m_state.attemptAge.learn(m_admitted.route.name, deadline);
    m_deadlineAt = m_arrivedAt + std::min(deadline, m_admitted.route.timeout);
    armDeadline();
    m_exchange.onGone([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->stop(StopReason::ClientGone);
    });
}

void RequestFlow::armDeadline()
{
    const TimePoint endsBy = m_state.stopWindow.cap(m_deadlineAt);
    if (endsBy == m_endsBy)
        return;
    m_endsBy = endsBy;
    m_deadlineTimer.expires_at(endsBy);
    m_deadlineTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->stop(StopReason::TimedOut);
    });
}

void RequestFlow::stop(StopReason reason)
{
    if (m_stopReason != StopReason::None)
        return;
    m_stopReason = reason;
    if (m_wait && !m_wait->decided())
        m_state.abandon(m_ticket);
    if (m_hedged)
        m_hedged->cancel();
}

asio::awaitable<void> RequestFlow::serve()
{
    startTimers();
    m_state.retries.countRequest(m_admitted.service, m_readAt);
    m_expectedEvents = expectedEvents();
    if (resumesStream()) {
        m_relay.startAfter(*m_facts.resumeAfter);
        co_await findOrigin();
    }
    bool anotherAttempt = true;
    while (anotherAttempt) {
        armDeadline();
        if (const auto denial = sendDenial()) {
            co_await respondUnassigned(denial->kind, denial->retryAfter);
            break;
        }
        const bool assigned = co_await waitForUpstream();
        if (!assigned)
            break;
        const AttemptEnd end = co_await attempt();
        if (m_stopReason != StopReason::None && end != AttemptEnd::Whole) {
            co_await respondStopped();
            break;
        }
        anotherAttempt = co_await handleAttemptEnd(end);
    }
    m_deadlineTimer.cancel();
}

std::optional<Denial> RequestFlow::sendDenial() const
{
    if (isQuarantined())
        return Denial{ErrorKind::SuspectHeld, quarantineRetryAfter};
    if (!m_state.stopWindow.admits(m_admitted.route.name, m_deadlineAt, steadyNow()))
        return Denial{ErrorKind::Draining, stoppingRetryAfter};
    return continuationDenial();
}

QueuedRequest RequestFlow::queuedRequest() const
{
    QueuedRequest request;
    request.ticket = m_ticket;
    request.service = m_admitted.service;
    request.rank = rank();
    request.promptTokens = m_facts.promptTokens.value_or(0);
    request.responseEvents = m_expectedEvents;
    request.deadlineAt = m_deadlineAt;
    if (m_admitted.route.affinity && !m_facts.promptParts.empty())
        request.prefix = m_facts.promptParts.back().id;
    request.arrived = m_arrivedAt - m_sinceFirstAttempt;
    request.queuedAt = steadyNow();
    request.objectiveAt = request.arrived + m_admitted.route.objective;
    request.pauseObjective = m_admitted.route.eventGapObjective;
    request.refuseAt = refusalTime(
        {steadyNow(), m_admitted.route.objective, m_admitted.route.eventGapObjective, isStream(),
         timeLeft(), m_sinceFirstAttempt, m_state.settings.direct.scheduling.lateIsServed});
    if (m_origin)
        request.version = m_origin->version;
    request.excluded = m_tried;
    request.isFirstAttempt = m_tried.empty() && m_sinceFirstAttempt == Duration::zero();
    return request;
}

std::uint32_t RequestFlow::expectedEvents() const
{
    const Service *service = m_state.config->service(m_admitted.service);
    if (!isStream() || !service || !service->engine)
        return 0;
    const std::uint32_t tokens = m_facts.outputEstimate.value_or(m_facts.outputTokens);
    return tokens / static_cast<std::uint32_t>(std::max(1, service->engine->tokensPerEvent));
}

asio::awaitable<bool> RequestFlow::waitForUpstream()
{
    m_ticket = m_state.nextTicket();
    m_wait = std::make_shared<QueueWait>(m_state.executor);
    const TimePoint queuedAt = steadyNow();
    QueuedRequest queued = queuedRequest();
    m_state.rollouts.prepare(queued);
    m_isRolloutTurn = !queued.onlyAt.empty();
    m_state.enqueue(std::move(queued), m_wait);
    if (!m_wait->decided())
        co_await m_wait->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    m_waited += steadyNow() - queuedAt;
    m_attempt = nullptr;
    m_hedged.reset();
    armDeadline();
    const auto wait = std::exchange(m_wait, nullptr);
    m_assignment = wait->assignment;
    // A busy process reads requests late, so the client may have closed its connection already
    // although the process has not read the end of stream yet.
    if (m_assignment && m_exchange.isGone())
        stop(StopReason::ClientGone);
    const bool proved = m_admitted.workspace.empty() || m_state.freshness.isFresh(bootNow());
    const bool endsInTime = !m_assignment || timeLeft() > minAttemptTime;
    const auto denial = sendDenial();
    if (m_assignment && m_stopReason == StopReason::None && proved && endsInTime && !denial)
        co_return true;
    if (m_assignment)
        releaseUpstream();
    if (wait->refusal) {
        m_state.hedging.countRefusal(m_admitted.service, steadyNow());
        logRefusal(*wait->refusal);
    }
    const Duration retryAfter = wait->refusal ? wait->refusal->retryAfter : unprovedRetryAfter;
    if (!proved)
        co_await respondUnassigned(ErrorKind::ConfigUnproved, retryAfter);
    else if (denial)
        co_await respondUnassigned(denial->kind, denial->retryAfter);
    else
        co_await respondUnassigned(endsInTime ? ErrorKind::Overloaded : ErrorKind::DeadlineUnmet,
                                   retryAfter);
    co_return false;
}

bool RequestFlow::isQuarantined() const
{
    // The trial of a quarantined part is sent once.
    if (m_admitted.isTrial && m_sends == 0)
        return false;
    return m_state.partQuarantine.isQuarantined(m_facts.promptParts)
           || (m_state.crashes.quarantinesAny()
               && m_state.crashes.isQuarantined(requestFingerprint(m_admitted.workspace, parts()),
                                                steadyNow()));
}

void RequestFlow::releaseUpstream()
{
    const bool prefilled = m_attempt && m_attempt->firstTokenAt();
    m_state.releasePlace(*m_assignment, m_admitted.service, rank(), prefilled);
}

asio::awaitable<void> RequestFlow::respondUnassigned(ErrorKind reason, Duration retryAfter)
{
    if (m_stopReason != StopReason::None) {
        co_await respondStopped();
    } else if (m_relay.started()) {
        m_relay.abort();
        logEnd("cut", 0);
    } else {
        co_await respondError(m_mayHaveRun ? ErrorKind::UpstreamLost : reason, retryAfter);
    }
}

asio::awaitable<AttemptEnd> RequestFlow::attempt()
{
    commitQuota();
    m_tried.push_back(m_assignment->upstream->key);
    std::optional<StreamKey> newStream;
    if (isStream() && m_admitted.route.resumable && !m_origin)
        newStream = streamKey(m_facts.id);
    m_hedged = std::make_shared<HedgedAttempt>(
        m_state, *m_assignment, m_relay,
        AttemptRequest{m_exchange.request(), m_facts, m_admitted.workspace, m_deadlineAt,
                       isStream(), m_sends == 0, m_admitted.isTrial && m_sends == 0,
                       m_admitted.service, newStream, m_origin.has_value()});
    m_attempt = &m_hedged->attempt();
    const bool isFirstSend = m_sends == 0;
    const TimePoint start = steadyNow();
    const AttemptEnd end = co_await m_hedged->run(hedgeTerms());
    recordHedge();
    if (isFirstSend && m_attempt->sent())
        m_state.hedging.countSend(m_admitted.service);
    if (end == AttemptEnd::Whole)
        m_state.stopWindow.recordServed(m_admitted.route.name, steadyNow() - start);
    if (m_attempt->sent()) {
        ++m_sends;
        m_retryReserved = false;
        m_state.rollouts.countSend(*m_assignment->upstream, m_isRolloutTurn);
        recordRolloutAnswer(end, steadyNow() - start);
    }
    if (!m_origin)
        m_origin = m_attempt->origin();
    if (!m_firstToken && m_attempt->firstTokenAt())
        m_firstToken = *m_attempt->firstTokenAt() - m_arrivedAt;
    if (m_attempt->clientGone())
        stop(StopReason::ClientGone);
    if (m_stopReason == StopReason::None)
        recordAttempt(end);
    releaseUpstream();
    co_return end;
}

std::optional<HedgedAttempt::Terms> RequestFlow::hedgeTerms() const
{
    const Route &route = m_admitted.route;
    const bool allowed = m_state.hedging.isEnabled() && route.repeatable() && m_sends == 0
                         && route.maxAttempts > 1 && !m_admitted.isTrial && !resumesStream();
    if (!allowed)
        return std::nullopt;
    const auto maySend = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && self->m_stopReason == StopReason::None && self->timeLeft() > minAttemptTime
               && !self->sendDenial();
    };
    return HedgedAttempt::Terms{queuedRequest(), maySend, weak_from_this()};
}

void RequestFlow::recordHedge()
{
    m_attempt = &m_hedged->attempt();
    m_assignment = m_hedged->assignment();
    const auto hedgedAt = m_hedged->hedgedAt();
    if (!hedgedAt)
        return;
    m_wasHedged = true;
    m_hedgeWon = m_hedged->hedgeWon();
    m_tried.push_back(*hedgedAt);
    // Both upstreams may have run the request; the attempt that counts is counted at its end.
    m_mayHaveRun = true;
    ++m_upstreamsRun;
    ++m_sends;
    // The second upstream has the software version of the first.
    m_state.rollouts.countSend(*m_assignment->upstream, false);
    if (const UpstreamPtr broken = m_hedged->otherBroken())
        recordBroken(broken);
}

void RequestFlow::recordBroken(const UpstreamPtr &upstream)
{
    const TimePoint now = steadyNow();
    m_state.upstreams.recordHealth(*upstream, HealthSignal::Faulty, now);
    m_state.pool.drop(upstream->key);
    upstream->connectionsEnded = true;
    m_state.recordBrokenAttempt(upstream, requestFingerprint(m_admitted.workspace, parts()),
                                m_facts.promptParts, now);
}

HealthSignal RequestFlow::healthSign(AttemptEnd end) const
{
    switch (end) {
    case AttemptEnd::NotSent:
        return m_attempt->withheld() ? HealthSignal::Full : HealthSignal::Unreachable;
    case AttemptEnd::NotExecuted:
        return m_attempt->response().facts.misdirected ? HealthSignal::Unreachable
                                                       : HealthSignal::Full;
    case AttemptEnd::Broken:
    case AttemptEnd::Spoiled:
        return HealthSignal::Faulty;
    case AttemptEnd::Failed:
    case AttemptEnd::Whole:
        break;
    }
    return end == AttemptEnd::Failed && isStream() ? HealthSignal::Faulty : HealthSignal::Good;
}

void RequestFlow::recordRolloutAnswer(AttemptEnd end, Duration took)
{
    const bool ran = end != AttemptEnd::NotSent && end != AttemptEnd::NotExecuted;
    if (!ran || m_stopReason == StopReason::ClientGone)
        return;
    const bool timedOut = m_stopReason == StopReason::TimedOut;
    const UpstreamState &upstream = *m_assignment->upstream;
    const EngineTimeModel &model = m_state.upstreams.model(m_admitted.service);
    const auto events = static_cast<std::uint32_t>(isStream() ? m_relay.events().events() : 0);
    const Duration expected =
        model.nominal(m_assignment->backlogTokens + m_assignment->freshTokens)
        + (events > 0 ? model.predictEvents(1, events - 1) : Duration::zero());
    m_state.rollouts.recordAnswer(upstream, m_admitted.route.tier,
                                  {end != AttemptEnd::Whole && !timedOut, took, expected});
}

void RequestFlow::recordAttempt(AttemptEnd end)
{
    UpstreamState &upstream = *m_assignment->upstream;
    const TimePoint now = steadyNow();
    const HealthSignal sign = healthSign(end);
    m_state.upstreams.recordHealth(upstream, sign, now);
    if (sign != HealthSignal::Good && sign != HealthSignal::Full) {
        m_state.pool.drop(upstream.key);
        upstream.connectionsEnded = true;
        if (end == AttemptEnd::Broken)
            m_state.recordBrokenAttempt(m_assignment->upstream,
                                        requestFingerprint(m_admitted.workspace, parts()),
                                        m_facts.promptParts, now);
        if (end == AttemptEnd::NotSent)
            m_state.upstreamUnreachable(upstream, now);
    }
    if (end == AttemptEnd::Whole) {
        // A stream without events may have ended with its upstream.
        const bool isAnswer = !isStream() || m_relay.events().events() > 0;
        if (m_attempt->response().status == okStatus && isAnswer)
            m_state.recordAnswer(m_facts.promptParts, now);
        return;
    }
    m_state.metrics.add("tamarack_attempts_failed_total",
                        fmt::format("reason=\"{}\"", endName(end)));
    logEvent(LogLevel::Info, "attempt_failed",
             {{"request", m_facts.id},
              {"upstream", upstream.record.id},
              {"end", endName(end)},
              {"status", m_attempt->response().status},
              {"parts", platform::promptPartText(m_facts.promptParts)},
              {"reused", m_attempt->reusedConnection()},
              {"in_flight", upstream.inFlight()},
              {"failures_in_row", upstream.failuresInRow},
              {"ms", toMs(now - m_arrivedAt)}});
}

asio::awaitable<bool> RequestFlow::handleAttemptEnd(AttemptEnd end)
{
    const bool ran = end != AttemptEnd::NotSent && end != AttemptEnd::NotExecuted;
    m_mayHaveRun = m_mayHaveRun || ran;
    m_upstreamsRun += ran ? 1 : 0;
    AttemptFacts facts;
    facts.end = end;
    facts.kind = m_admitted.route.kind;
    facts.resumable = m_admitted.route.resumable;
    facts.responseStarted = m_relay.started();
    facts.mayHaveRun = m_mayHaveRun;
    facts.upstreamsRun = m_upstreamsRun;
    facts.maxAttempts = m_admitted.route.maxAttempts;
    facts.sends = m_sends;
    facts.timeLeft = timeLeft() > minAttemptTime;
    const AttemptDecision verdict = decideNextStep(facts);
    // A request that was never sent put no load on an upstream, so that sending it is no retry.
    const bool retried = verdict.step == NextStep::Retry && (m_sends == 0 || reserveRetry());
    if (retried) {
        m_state.metrics.add("tamarack_retries_total", fmt::format("reason=\"{}\"", endName(end)));
        co_return true;
    }
    const bool deliverable = verdict.step == NextStep::Deliver || end == AttemptEnd::Failed;
    const bool canAppend = !m_relay.started() || end == AttemptEnd::Whole;
    if (deliverable && canAppend) {
        co_await deliver();
    } else if (m_relay.started()) {
        m_relay.abort();
        logEnd("cut", 0);
    } else {
        constexpr milliseconds refusedRetryAfter{300};
        co_await respondError(verdict.refusal, refusedRetryAfter);
    }
    co_return false;
}

bool RequestFlow::reserveRetry()
{
    if (m_retryReserved)
        return true;
    m_retryReserved = m_state.retries.tryReserve(m_admitted.service, steadyNow());
    const RetryBudget::Usage usage = m_state.retries.usage(m_admitted.service);
    logEvent(LogLevel::Info, "retry_decided",
             {{"request", m_facts.id},
              {"service", m_admitted.service},
              {"granted", m_retryReserved},
              {"tokens", usage.tokens},
              {"reserved", usage.reserved},
              {"requests", usage.requests},
              {"entries", m_state.retries.entries()}});
    return m_retryReserved;
}

void RequestFlow::releaseRetry()
{
    if (std::exchange(m_retryReserved, false))
        m_state.retries.release(m_admitted.service);
}

asio::awaitable<void> RequestFlow::deliver()
{
    const int status = m_attempt->response().status;
    UpstreamResponse answer = m_attempt->takeResponse();
    const bool streams = isStream() && status == okStatus;
    const bool finished = co_await m_relay.deliver(std::move(answer), streams);
    if (finished && m_origin)
        m_state.endStream(m_origin->stream);
    logEnd(finished ? "served" : "client_gone", status);
}

asio::awaitable<void> RequestFlow::respondStopped()
{
    if (m_stopReason == StopReason::ClientGone) {
        logEnd("client_gone", 0);
        m_relay.abort();
        co_return;
    }
    if (m_relay.started()) {
        m_relay.abort();
        logEnd("timed_out", 0);
        co_return;
    }
    const bool sent = m_sends > 0;
    constexpr milliseconds deadlineRetryAfter{300};
    co_await respondError(sent ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineUnmet,
                          deadlineRetryAfter);
}

asio::awaitable<void> RequestFlow::respondError(ErrorKind kind, Duration retryAfter)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    refundQuota();
    if (kind == ErrorKind::SuspectHeld)
        logEvent(LogLevel::Info, "request_held",
                 {{"request", m_facts.id},
                  {"parts", platform::promptPartText(m_facts.promptParts)},
                  {"sends", m_sends}});
    HttpResponse response{answer.httpStatus, platform::encodeOwnAnswer(m_facts), ""};
    response.headers.emplace_back("Content-Type", "application/json");
    response.headers.emplace_back("Tamarack-Outcome", outcomeName(answer.outcome));
    if (retryAfter > Duration::zero())
        response.headers.emplace_back("Retry-After", fractionalSeconds(retryAfter));
    const boost::json::object fault{{"kind", answer.name},
                                    {"message", answer.name},
                                    {"request_id", m_facts.id},
                                    {"outcome", outcomeName(answer.outcome)}};
    response.body = boost::json::serialize(boost::json::object{{"error", fault}});
    m_state.metrics.add("tamarack_refusals_total", fmt::format("reason=\"{}\"", answer.name));
    logEnd(answer.name, answer.httpStatus);
    // Another entry may have a current proof of its configuration; closing makes the client
    // reconnect, possibly to that entry.
    if (kind == ErrorKind::ConfigUnproved)
        m_exchange.closeAfterAnswer();
    co_await m_exchange.respond(std::move(response));
}

Duration RequestFlow::timeLeft() const
{
    return m_deadlineAt - steadyNow();
}

} // namespace tamarack
