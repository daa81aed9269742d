#include "direct/UpstreamAttempt.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "platform/HeaderCodec.h"
#include "process/Timers.h"

#include <algorithm>
#include <array>

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

/// Statuses that promise that a request did not run; an upstream that ran it cannot say them.
bool promisesNotRun(int status)
{
    constexpr std::array promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

} // namespace

UpstreamAttempt::UpstreamAttempt(TrafficState &state, const Assignment &assignment,
                                 AnswerRelay &relay, AttemptRequest request)
    : m_state(state)
    , m_assignment(assignment)
    , m_relay(relay)
    , m_request(std::move(request))
{}

asio::awaitable<AttemptEnd> UpstreamAttempt::run()
{
    const AttemptEnd end = co_await sendAndRead();
    keepOrClose(end);
    co_return end;
}

void UpstreamAttempt::cancel()
{
    m_cancelled = true;
    if (m_connection)
        m_connection->close();
}

asio::awaitable<AttemptEnd> UpstreamAttempt::sendAndRead()
{
    m_connection = co_await connect();
    m_withheld = m_connection && !m_assignment.upstream->terms.isOpen(steadyNow());
    if (!m_connection || m_cancelled || m_withheld)
        co_return AttemptEnd::NotSent;
    m_sentAt = steadyNow();
    m_sent = true;
    m_connection->send(outgoing());
    co_return co_await readAnswer();
}

asio::awaitable<std::shared_ptr<UpstreamConnection>> UpstreamAttempt::connect()
{
    const UpstreamState &upstream = *m_assignment.upstream;
    auto idle = m_state.pool.take(upstream.key, steadyNow());
    m_reusedConnection = idle != nullptr;
    if (idle)
        co_return idle;
    m_state.metrics.add("tamarack_upstream_connections_total", "");
    auto made =
        co_await UpstreamConnection::makeConnection(m_state.executor, upstream.record.endpoint);
    if (!made) {
        logEvent(LogLevel::Info, "connect_failed",
                 {{"request", m_request.facts.id},
                  {"upstream", upstream.record.id},
                  {"reason", made.error().message}});
        co_return nullptr;
    }
    co_return *made;
}

HttpRequest UpstreamAttempt::outgoing() const
{
    const HttpRequest &incoming = m_request.incoming;
    platform::DispatchFacts dispatch;
    dispatch.upstreamId = m_assignment.upstream->record.id;
    dispatch.timeLeft = std::chrono::duration_cast<milliseconds>(m_request.endAt - steadyNow());
    dispatch.workspace = m_request.workspace;
    dispatch.resumeAfter = m_request.facts.resumeAfter;
    if (const auto lastId = m_relay.events().lastId())
        dispatch.resumeAfter = lastId;
    return {incoming.method, incoming.target, platform::encodeDispatch(m_request.facts, dispatch),
            incoming.body};
}

asio::awaitable<AttemptEnd> UpstreamAttempt::readAnswer()
{
    for (int skipped = 0; skipped <= mostSkippedAnswers; ++skipped) {
        auto head = co_await m_connection->readHead();
        if (!head) {
            const bool spoiled = head.error().kind == ErrorKind::UpstreamFailed;
            co_return spoiled ? AttemptEnd::Spoiled : AttemptEnd::Broken;
        }
        m_answer.status = head->status;
        m_answer.facts = platform::decodeAnswer(head->status, head->headers);
        const std::string &answered = m_answer.facts.requestId;
        if (answered.empty() || answered == m_request.facts.id) {
            if (!m_answer.facts.misdirected)
                m_state.hearStatement(*m_assignment.upstream, m_answer.facts.statement, m_sentAt);
            const AttemptEnd meaning = judgeHead();
            const bool streams = m_request.streams && m_answer.status == okStatus;
            if (meaning == AttemptEnd::Whole && streams)
                co_return co_await relayStream();
            co_return co_await readWhole(meaning);
        }
        logEvent(LogLevel::Warning, "answer_of_another_request",
                 {{"request", m_request.facts.id}, {"answers", answered}});
        const bool skippable = co_await skipAnswer();
        if (!skippable)
            co_return AttemptEnd::Spoiled;
    }
    co_return AttemptEnd::Spoiled;
}

asio::awaitable<bool> UpstreamAttempt::skipAnswer()
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

AttemptEnd UpstreamAttempt::judgeHead() const
{
    const AnswerFacts &facts = m_answer.facts;
    const int status = m_answer.status;
    if (facts.notExecuted || facts.misdirected)
        return AttemptEnd::NotExecuted;
    const bool answersThis = facts.requestId == m_request.facts.id;
    if (!answersThis || !facts.hasSignature || facts.encoded)
        return AttemptEnd::Spoiled;
    if (status >= firstServerError || promisesNotRun(status))
        return promisesNotRun(status) ? AttemptEnd::Spoiled : AttemptEnd::Failed;
    return AttemptEnd::Whole;
}

asio::awaitable<AttemptEnd> UpstreamAttempt::relayStream()
{
    m_relay.restartStream();
    while (true) {
        const auto piece = co_await m_connection->readBody();
        if (!piece)
            co_return AttemptEnd::Broken;
        if (piece->empty())
            break;
        const std::string_view events = m_relay.takeEvents(*piece);
        if (m_relay.events().isOverlong())
            co_return AttemptEnd::Spoiled;
        if (events.empty())
            continue;
        noteFirstToken();
        const bool forwarded = co_await m_relay.forward(events, m_answer);
        if (!forwarded) {
            m_clientGone = true;
            co_return AttemptEnd::Broken;
        }
    }
    const EventScanner &events = m_relay.events();
    if (events.hasPartial())
        co_return AttemptEnd::Broken;
    if (m_request.first && m_firstTokenAt && events.events() > 1)
        m_state.upstreams.learnEvents(*m_assignment.upstream,
                                      static_cast<std::uint32_t>(events.events() - 1),
                                      steadyNow() - *m_firstTokenAt);
    co_return m_cancelled ? AttemptEnd::Broken : AttemptEnd::Whole;
}

asio::awaitable<AttemptEnd> UpstreamAttempt::readWhole(AttemptEnd meaning)
{
    std::string &body = m_answer.body;
    while (true) {
        const auto piece = co_await m_connection->readBody();
        if (!piece || body.size() > largestHeldAnswer)
            co_return meaning == AttemptEnd::NotExecuted ? meaning : AttemptEnd::Broken;
        if (piece->empty())
            break;
        body.append(*piece);
    }
    noteFirstToken();
    co_return meaning;
}

void UpstreamAttempt::noteFirstToken()
{
    if (m_firstTokenAt)
        return;
    m_firstTokenAt = steadyNow();
    UpstreamState &upstream = *m_assignment.upstream;
    m_state.upstreams.firstToken(upstream, m_assignment.freshTokens);
    if (m_answer.status == okStatus)
        m_state.upstreams.recordFirstToken(upstream,
                                           m_assignment.backlogTokens + m_assignment.freshTokens,
                                           *m_firstTokenAt - m_sentAt);
}

void UpstreamAttempt::keepOrClose(AttemptEnd end)
{
    const auto connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    const AnswerFacts &facts = m_answer.facts;
    const bool clean = end == AttemptEnd::Whole || end == AttemptEnd::Failed
                       || (end == AttemptEnd::NotExecuted && !facts.misdirected);
    const UpstreamState &upstream = *m_assignment.upstream;
    const bool leaves = upstream.gone || upstream.terms.isLeaving();
    if (clean && connection->reusable() && !facts.closing && !leaves)
        m_state.pool.keep(upstream.key, connection, facts.keepAlive, steadyNow());
    else
        connection->close();
}

} // namespace tamarack
