#include "direct/RequestFlow.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "base/Log.h"
#include "platform/HeaderCodec.h"
#include "process/Timers.h"

#include <algorithm>
#include <array>

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr int okStatus = 200;
constexpr int firstServerError = 500;
/// An answer that is held whole until its end is known.
constexpr std::size_t largestHeldAnswer = 16 << 20;
/// An answer to another request, which the upstream sent late, is read up to this size.
constexpr std::size_t largestSkippedAnswer = 1 << 20;
constexpr int mostSkippedAnswers = 2;
/// The view of the configuration is proved again within about a second.
constexpr milliseconds unprovedReturn{500};
/// Less time than this is not worth an attempt.
constexpr milliseconds shortestAttempt{20};

/// Statuses that promise that a request did not run; an upstream that ran it cannot say them.
bool promisesNotRun(int status)
{
    constexpr std::array promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

std::string_view endName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::NotExecuted:
        return "not_executed";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::Spoiled:
        return "spoiled";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::Whole:
        return "whole";
    }
    return "unknown";
}

std::string hostWithoutPort(std::string_view host)
{
    return std::string(host.substr(0, host.find(':')));
}

std::string fractionalSeconds(Duration duration)
{
    return fmt::format("{:.2f}", std::chrono::duration<double>(duration).count());
}

} // namespace

RequestFlow::RequestFlow(TrafficState &state, HttpExchange &exchange)
    : m_state(state)
    , m_exchange(exchange)
    , m_arrivedAt(steadyNow())
    , m_endTimer(state.executor)
{}

asio::awaitable<void> RequestFlow::run()
{
    const auto self = shared_from_this();
    if (const auto denial = admit())
        co_await answerError(denial->kind, denial->retryAfter);
    else
        co_await serve();
}

std::optional<RequestFlow::Denial> RequestFlow::admit()
{
    auto facts = platform::decodeRequest(m_exchange.request().headers);
    if (!facts)
        return Denial{ErrorKind::BadRequest, {}};
    m_facts = std::move(*facts);
    if (auto denial = findRoute())
        return denial;
    if (auto denial = checkKey())
        return denial;
    m_fingerprint =
        fingerprint(m_workspace + ' ' + m_exchange.request().target, m_exchange.request().body);
    if (m_state.crashes.isQuarantined(m_fingerprint, m_arrivedAt))
        return Denial{ErrorKind::SuspectHeld, std::chrono::seconds(5)};
    return chargeQuota();
}

std::optional<RequestFlow::Denial> RequestFlow::findRoute()
{
    if (!m_state.config)
        return Denial{ErrorKind::ConfigUnproved, unprovedReturn};
    const ServingConfig &config = *m_state.config;
    m_configVersion = config.version;
    const Route *route = config.route(hostWithoutPort(m_facts.host), m_exchange.request().path());
    if (!route) {
        const bool current = m_state.freshness.isCurrent(bootNow());
        return Denial{current ? ErrorKind::NotFound : ErrorKind::ConfigUnproved, unprovedReturn};
    }
    m_route = *route;
    m_service = chooseService(m_route, fnv1a(m_facts.id));
    m_tier = m_route.tier;
    return std::nullopt;
}

std::optional<RequestFlow::Denial> RequestFlow::checkKey()
{
    if (m_state.config->workspaces.empty() || m_route.open)
        return std::nullopt;
    const Workspace *workspace = m_state.config->workspaceOf(m_facts.key);
    const BootTime now = bootNow();
    if (!workspace && m_state.freshness.isCurrent(now))
        return Denial{ErrorKind::Unauthorized, {}};
    if (!workspace || !m_state.freshness.isFresh(now))
        return Denial{ErrorKind::ConfigUnproved, unprovedReturn};
    m_workspace = workspace->name;
    m_tier = workspace->tier.value_or(m_route.tier);
    const bool counted = workspace->unit == QuotaUnit::Tokens && m_facts.promptTokens;
    m_charged = counted ? *m_facts.promptTokens + m_facts.outputTokens : workspace->plainCost;
    return std::nullopt;
}

std::optional<RequestFlow::Denial> RequestFlow::chargeQuota()
{
    if (m_workspace.empty() || m_state.quotas.tryTake(m_workspace, m_charged, m_arrivedAt))
        return std::nullopt;
    constexpr milliseconds shortestReturn{200};
    const Duration room = m_state.quotas.untilRoom(m_workspace);
    m_charged = 0;
    return Denial{ErrorKind::QuotaExceeded, std::max<Duration>(room, shortestReturn)};
}

void RequestFlow::startClocks()
{
    const milliseconds deadline = m_facts.deadline.value_or(m_route.timeout);
    m_elapsed = m_state.attemptAge.learn(m_route.name, deadline);
    m_endAt = m_arrivedAt + std::min(deadline, m_route.timeout);
    m_endTimer.expires_at(m_endAt);
    m_endTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->stop(Stop::TimedOut);
    });
    m_exchange.onGone([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->stop(Stop::ClientGone);
    });
}

void RequestFlow::stop(Stop reason)
{
    if (m_stop != Stop::None)
        return;
    m_stop = reason;
    if (m_wait && !m_wait->decided())
        m_state.abandon(m_ticket);
    if (m_connection)
        m_connection->close();
}

asio::awaitable<void> RequestFlow::serve()
{
    startClocks();
    m_state.retries.countRequest(m_service, m_arrivedAt);
    m_expectedEvents = expectedEvents();
    bool goesOn = true;
    while (goesOn) {
        const bool assigned = co_await waitForUpstream();
        if (!assigned)
            break;
        const AttemptEnd end = co_await attempt();
        if (m_stop != Stop::None && end != AttemptEnd::Whole) {
            co_await answerStopped();
            break;
        }
        goesOn = co_await conclude(end);
    }
    m_endTimer.cancel();
}

QueuedRequest RequestFlow::queuedRequest() const
{
    QueuedRequest request;
    request.ticket = m_ticket;
    request.service = m_service;
    request.rank = queueRank(m_tier, m_route.tier);
    request.promptTokens = m_facts.promptTokens.value_or(0);
    request.answerEvents = m_expectedEvents;
    request.deadlineAt = m_endAt;
    if (m_route.affinity && !m_facts.promptParts.empty())
        request.prefix = m_facts.promptParts.back().id;
    request.arrived = m_arrivedAt - m_elapsed;
    request.objectiveAt = request.arrived + m_route.objective;
    request.refuseAt = refusalTime(
        {steadyNow(), m_route.objective, m_route.pauseBound, isStream(), timeLeft(), m_elapsed});
    request.excluded = m_tried;
    return request;
}

std::uint32_t RequestFlow::expectedEvents() const
{
    const Service *service = m_state.config->service(m_service);
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
    m_state.enqueue(queuedRequest(), m_wait);
    if (!m_wait->decided())
        co_await m_wait->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    m_waited += steadyNow() - queuedAt;
    m_prefillCounted = true;
    const auto wait = std::exchange(m_wait, nullptr);
    m_assignment = wait->assignment;
    // A busy process reads requests late: the client's end may lie behind its request unread.
    if (m_assignment && m_exchange.isGone())
        stop(Stop::ClientGone);
    const bool proved = m_workspace.empty() || m_state.freshness.isFresh(bootNow());
    if (m_assignment && m_stop == Stop::None && proved)
        co_return true;
    if (m_assignment)
        releaseUpstream();
    const Duration retryAfter = wait->refusal ? wait->refusal->retryAfter : unprovedReturn;
    co_await answerUnserved(proved ? ErrorKind::Overloaded : ErrorKind::ConfigUnproved, retryAfter);
    co_return false;
}

void RequestFlow::releaseUpstream()
{
    UpstreamState &upstream = *m_assignment->upstream;
    if (std::exchange(m_prefillCounted, false))
        m_state.upstreams.firstToken(upstream, m_assignment->freshTokens);
    m_state.upstreams.ended(upstream);
    m_state.queue.ended(m_service, queueRank(m_tier, m_route.tier));
    m_state.pump();
}

asio::awaitable<void> RequestFlow::answerUnserved(ErrorKind reason, Duration retryAfter)
{
    if (m_stop != Stop::None) {
        co_await answerStopped();
    } else if (m_answerStarted) {
        m_exchange.abort();
        logEnd("cut", 0);
    } else {
        co_await answerError(m_mayHaveRun ? ErrorKind::UpstreamLost : reason, retryAfter);
    }
}

asio::awaitable<AttemptEnd> RequestFlow::attempt()
{
    UpstreamState &upstream = *m_assignment->upstream;
    m_tried.push_back(upstream.key);
    const AttemptEnd end = co_await sendAndRead();
    finishConnection(end);
    if (m_stop == Stop::None)
        learn(end);
    releaseUpstream();
    co_return end;
}

asio::awaitable<AttemptEnd> RequestFlow::sendAndRead()
{
    m_connection = co_await connect();
    if (!m_connection || m_stop != Stop::None)
        co_return AttemptEnd::NotSent;
    m_sentAt = steadyNow();
    ++m_sends;
    m_connection->send(upstreamRequest());
    co_return co_await readAnswer();
}

asio::awaitable<std::shared_ptr<UpstreamConnection>> RequestFlow::connect()
{
    const UpstreamState &upstream = *m_assignment->upstream;
    auto idle = m_state.pool.take(upstream.key, steadyNow());
    m_reusedConnection = idle != nullptr;
    if (idle)
        co_return idle;
    m_state.metrics.add("tamarack_upstream_connections_total", "");
    auto made =
        co_await UpstreamConnection::makeConnection(m_state.executor, upstream.record.endpoint);
    if (!made) {
        logEvent(LogLevel::Info, "connect_failed",
                 {{"request", m_facts.id},
                  {"upstream", upstream.record.id},
                  {"reason", made.error().message}});
        co_return nullptr;
    }
    co_return *made;
}

HttpRequest RequestFlow::upstreamRequest()
{
    const HttpRequest &incoming = m_exchange.request();
    platform::DispatchFacts dispatch;
    dispatch.upstreamId = m_assignment->upstream->record.id;
    dispatch.timeLeft = std::chrono::duration_cast<milliseconds>(timeLeft());
    dispatch.workspace = m_workspace;
    dispatch.resumeAfter = m_facts.resumeAfter;
    if (m_events.lastId())
        dispatch.resumeAfter = m_events.lastId();
    return {incoming.method, incoming.target, platform::encodeDispatch(m_facts, dispatch),
            incoming.body};
}

asio::awaitable<AttemptEnd> RequestFlow::readAnswer()
{
    for (int skipped = 0; skipped <= mostSkippedAnswers; ++skipped) {
        auto head = co_await m_connection->readHead();
        if (!head) {
            const bool spoiled = head.error().kind == ErrorKind::UpstreamFailed;
            co_return spoiled ? AttemptEnd::Spoiled : AttemptEnd::Broken;
        }
        m_answer = platform::decodeAnswer(head->status, head->headers);
        if (m_answer.requestId.empty() || m_answer.requestId == m_facts.id) {
            m_head = std::move(*head);
            const AttemptEnd meaning = judgeHead(m_head.status);
            const bool streams = isStream() && m_head.status == okStatus;
            if (meaning == AttemptEnd::Whole && streams)
                co_return co_await relayStream();
            co_return co_await readWhole(meaning);
        }
        logEvent(LogLevel::Warning, "answer_of_another_request",
                 {{"request", m_facts.id}, {"answers", m_answer.requestId}});
        const bool skippable = co_await skipAnswer();
        if (!skippable)
            co_return AttemptEnd::Spoiled;
    }
    co_return AttemptEnd::Spoiled;
}

asio::awaitable<bool> RequestFlow::skipAnswer()
{
    std::size_t size = 0;
    while (size < largestSkippedAnswer) {
        const auto piece = co_await m_connection->readBody();
        if (!piece)
            co_return false;
        if (piece->empty())
            co_return true;
        size += piece->size();
    }
    co_return false;
}

AttemptEnd RequestFlow::judgeHead(int status) const
{
    if (m_answer.notExecuted || m_answer.misdirected)
        return AttemptEnd::NotExecuted;
    const bool answersThis = m_answer.requestId == m_facts.id;
    if (!answersThis || !m_answer.hasSignature || m_answer.encoded)
        return AttemptEnd::Spoiled;
    if (status >= firstServerError || promisesNotRun(status))
        return promisesNotRun(status) ? AttemptEnd::Spoiled : AttemptEnd::Failed;
    return AttemptEnd::Whole;
}

asio::awaitable<AttemptEnd> RequestFlow::relayStream()
{
    m_events.restart();
    while (true) {
        const auto piece = co_await m_connection->readBody();
        if (!piece)
            co_return AttemptEnd::Broken;
        if (piece->empty())
            break;
        const std::string_view events = m_events.take(*piece);
        if (events.empty())
            continue;
        noteFirstToken();
        const bool forwarded = co_await forward(events);
        if (!forwarded) {
            stop(Stop::ClientGone);
            co_return AttemptEnd::Broken;
        }
    }
    if (m_events.hasPartial())
        co_return AttemptEnd::Broken;
    if (m_sends == 1 && m_events.events() > 1)
        m_state.upstreams.learnEvents(*m_assignment->upstream,
                                      static_cast<std::uint32_t>(m_events.events() - 1),
                                      steadyNow() - m_firstTokenAt);
    co_return m_stop == Stop::None ? AttemptEnd::Whole : AttemptEnd::Broken;
}

asio::awaitable<bool> RequestFlow::forward(std::string_view events)
{
    if (!m_answerStarted) {
        m_answerStarted = true;
        const bool started = co_await m_exchange.startStream(m_head.status, m_answer.forwarded);
        if (!started)
            co_return false;
    }
    co_return co_await m_exchange.write(events);
}

asio::awaitable<AttemptEnd> RequestFlow::readWhole(AttemptEnd meaning)
{
    m_body.clear();
    while (true) {
        const auto piece = co_await m_connection->readBody();
        if (!piece || m_body.size() > largestHeldAnswer)
            co_return meaning == AttemptEnd::NotExecuted ? meaning : AttemptEnd::Broken;
        if (piece->empty())
            break;
        m_body.append(*piece);
    }
    noteFirstToken();
    co_return meaning;
}

void RequestFlow::noteFirstToken()
{
    UpstreamState &upstream = *m_assignment->upstream;
    if (std::exchange(m_prefillCounted, false)) {
        m_state.upstreams.firstToken(upstream, m_assignment->freshTokens);
        const Duration took = steadyNow() - m_sentAt;
        m_firstTokenAt = steadyNow();
        if (!m_firstToken)
            m_firstToken = m_firstTokenAt - m_arrivedAt;
        if (m_head.status == okStatus)
            m_state.upstreams.learnFirstToken(
                upstream, m_assignment->backlogTokens + m_assignment->freshTokens, took);
    }
}

void RequestFlow::finishConnection(AttemptEnd end)
{
    const auto connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    const bool clean = end == AttemptEnd::Whole || end == AttemptEnd::Failed
                       || (end == AttemptEnd::NotExecuted && !m_answer.misdirected);
    const UpstreamState &upstream = *m_assignment->upstream;
    if (clean && connection->reusable() && !m_answer.closing && !upstream.gone)
        m_state.pool.keep(upstream.key, connection, m_answer.keepAlive, steadyNow());
    else
        connection->close();
}

HealthSign RequestFlow::healthSign(AttemptEnd end) const
{
    switch (end) {
    case AttemptEnd::NotSent:
        return HealthSign::Unreachable;
    case AttemptEnd::NotExecuted:
        return m_answer.misdirected ? HealthSign::Unreachable : HealthSign::Full;
    case AttemptEnd::Broken:
    case AttemptEnd::Spoiled:
        return HealthSign::Faulty;
    case AttemptEnd::Failed:
    case AttemptEnd::Whole:
        break;
    }
    return end == AttemptEnd::Failed && isStream() ? HealthSign::Faulty : HealthSign::Good;
}

void RequestFlow::learn(AttemptEnd end)
{
    UpstreamState &upstream = *m_assignment->upstream;
    const TimePoint now = steadyNow();
    const HealthSign sign = healthSign(end);
    m_state.upstreams.learnHealth(upstream, sign, now);
    if (sign != HealthSign::Good && sign != HealthSign::Full) {
        m_state.pool.drop(upstream.key);
        if (end == AttemptEnd::Broken)
            m_state.attemptBroke(upstream, m_fingerprint, now);
        if (end == AttemptEnd::NotSent)
            m_state.upstreamUnreachable(upstream, now);
    }
    if (end == AttemptEnd::Whole)
        return;
    m_state.metrics.add("tamarack_attempts_failed_total",
                        fmt::format("reason=\"{}\"", endName(end)));
    logEvent(LogLevel::Info, "attempt_failed",
             {{"request", m_facts.id},
              {"upstream", upstream.record.id},
              {"end", endName(end)},
              {"status", m_head.status},
              {"reused", m_reusedConnection},
              {"in_flight", upstream.inFlight()},
              {"failures_in_row", upstream.failuresInRow},
              {"ms", toMs(now - m_arrivedAt)}});
}

asio::awaitable<bool> RequestFlow::conclude(AttemptEnd end)
{
    const bool ran = end != AttemptEnd::NotSent && end != AttemptEnd::NotExecuted;
    m_mayHaveRun = m_mayHaveRun || ran;
    m_upstreamsRun += ran ? 1 : 0;
    AttemptFacts facts;
    facts.end = end;
    facts.kind = m_route.kind;
    facts.resumable = m_route.resumable;
    facts.answerStarted = m_answerStarted;
    facts.mayHaveRun = m_mayHaveRun;
    facts.upstreamsRun = m_upstreamsRun;
    facts.maxAttempts = m_route.maxAttempts;
    facts.sends = m_sends;
    facts.timeLeft = timeLeft() > shortestAttempt;
    const AttemptVerdict verdict = judgeAttempt(facts);
    // A send that was not made costs the upstreams nothing.
    const bool free = end == AttemptEnd::NotSent;
    const bool retried = verdict.step == NextStep::Retry
                         && (free || m_state.retries.trySpend(m_service, steadyNow()));
    if (retried) {
        m_state.metrics.add("tamarack_retries_total", fmt::format("reason=\"{}\"", endName(end)));
        co_return true;
    }
    if (verdict.step == NextStep::Deliver || end == AttemptEnd::Failed) {
        if (m_answerStarted && end != AttemptEnd::Whole)
            m_exchange.abort();
        else
            co_await deliver();
    } else if (m_answerStarted) {
        m_exchange.abort();
        logEnd("cut", 0);
    } else {
        constexpr milliseconds refusedReturn{300};
        co_await answerError(verdict.refusal, refusedReturn);
    }
    co_return false;
}

asio::awaitable<void> RequestFlow::deliver()
{
    if (m_answerStarted) {
        const bool finished = co_await m_exchange.finish();
        logEnd(finished ? "served" : "client_gone", m_head.status);
        co_return;
    }
    const bool emptyStream = isStream() && m_head.status == okStatus && m_body.empty();
    HttpResponse response{m_head.status, m_answer.forwarded, std::move(m_body)};
    if (emptyStream) {
        co_await m_exchange.startStream(m_head.status, m_answer.forwarded);
        co_await m_exchange.finish();
    } else {
        co_await m_exchange.respond(std::move(response));
    }
    logEnd("served", m_head.status);
}

asio::awaitable<void> RequestFlow::answerStopped()
{
    if (m_stop == Stop::ClientGone) {
        logEnd("client_gone", 0);
        m_exchange.abort();
        co_return;
    }
    if (m_answerStarted) {
        m_exchange.abort();
        logEnd("timed_out", 0);
        co_return;
    }
    const bool sent = m_sends > 0;
    constexpr milliseconds lateReturn{300};
    co_await answerError(sent ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineUnmet, lateReturn);
}

asio::awaitable<void> RequestFlow::answerError(ErrorKind kind, Duration retryAfter)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    const bool neverSent = answer.outcome == Outcome::NotRun && m_charged > 0;
    if (neverSent)
        m_state.quotas.giveBack(m_workspace, m_charged);
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
    // Another entry may have a proof: the client's next connection can reach it.
    if (kind == ErrorKind::ConfigUnproved)
        m_exchange.closeAfterAnswer();
    co_await m_exchange.respond(std::move(response));
}

void RequestFlow::logEnd(std::string_view outcome, int status)
{
    const TimePoint now = steadyNow();
    const auto proofAge = m_state.freshness.age(bootNow());
    const std::string tier = fmt::format("tier=\"{}\"", m_tier);
    m_state.metrics.add("tamarack_requests_total", fmt::format("outcome=\"{}\"", outcome));
    m_state.metrics.observe("tamarack_request_seconds", tier,
                            std::chrono::duration<double>(now - m_arrivedAt).count());
    if (m_firstToken)
        m_state.metrics.observe("tamarack_first_token_seconds", tier,
                                std::chrono::duration<double>(*m_firstToken).count());
    logEvent(LogLevel::Info, "request",
             {{"id", m_facts.id},
              {"route", m_route.name},
              {"workspace", m_workspace},
              {"tier", static_cast<int>(m_tier)},
              {"config", m_configVersion},
              {"proof_age_ms", proofAge ? proofAge->count() : -1},
              {"prompt", m_facts.promptTokens.value_or(0)},
              {"expected_events", m_expectedEvents},
              {"events", m_events.events()},
              {"upstream", m_assignment ? m_assignment->upstream->record.id : ""},
              {"sends", m_sends},
              {"peers_heard", m_state.peers.heard(now)},
              {"quota_left", m_state.quotas.level(m_workspace)},
              {"returned_ms", toMs(m_elapsed)},
              {"waited_ms", toMs(m_waited)},
              {"first_ms", m_firstToken ? toMs(*m_firstToken) : -1},
              {"total_ms", toMs(now - m_arrivedAt)},
              {"status", status},
              {"outcome", outcome}});
}

Duration RequestFlow::timeLeft() const
{
    return m_endAt - steadyNow();
}

} // namespace tamarack
