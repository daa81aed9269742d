#include "direct/UpstreamAttempt.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "direct/AttemptRace.h"
#include "direct/UpstreamReport.h"
#include "platform/HeaderCodec.h"
#include "process/Timers.h"

#include <algorithm>
#include <array>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr int okStatus = 200;
constexpr int firstServerError = 500;
/// A response that is not delivered is read and discarded up to this size, so that its connection
/// can be used again.
constexpr std::size_t maxSkippedResponseBytes = 1 << 20;
constexpr int maxSkippedResponses = 2;
/// The pace of a running stream is measured over this many events.
constexpr std::uint64_t paceSampleEvents = 8;

/// Statuses that state that the request was not processed. They are invalid from an upstream that
/// ran the request.
bool statesNotProcessed(int status)
{
    constexpr std::array promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

} // namespace

UpstreamAttempt::UpstreamAttempt(TrafficState &state, const Assignment &assignment,
                                 ResponseRelay &relay, AttemptRequest request)
    : m_state(state)
    , m_assignment(assignment)
    , m_relay(relay)
    , m_request(std::move(request))
{}

asio::awaitable<AttemptEnd> UpstreamAttempt::run()
{
    const AttemptEnd end = co_await sendAndRead();
    releaseConnection(end);
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
    if (m_cancelled)
        co_return AttemptEnd::NotSent;
    bool admitted = true;
    if (m_connection && needsIdentity())
        admitted = co_await admitsProcess();
    const bool quarantined =
        !m_request.isTrial && m_state.partQuarantine.isQuarantined(m_request.facts.promptParts);
    const UpstreamState &upstream = *m_assignment.upstream;
    // The store may list another incarnation since the assignment, perhaps of another version.
    const bool replaced = m_state.upstreams.otherIncarnation(upstream) != nullptr;
    m_withheld = m_connection
                 && (quarantined || replaced || !admitted || !upstream.terms.isOpen(steadyNow())
                     || !m_state.rollouts.maySend(upstream));
    if (!m_connection || m_cancelled || m_withheld)
        co_return AttemptEnd::NotSent;
    m_sentAt = steadyNow();
    m_sent = true;
    if (!m_request.first)
        m_state.retries.spend(m_request.service, m_sentAt);
    m_connection->send(outgoing());
    co_return co_await readResponse();
}

asio::awaitable<std::shared_ptr<UpstreamConnection>> UpstreamAttempt::connect()
{
    const UpstreamState &upstream = *m_assignment.upstream;
    auto taken = m_state.pool.take(upstream.key, steadyNow());
    m_reusedConnection = taken.connection != nullptr;
    // Connections end when an upstream restarts, but also for many other reasons.
    m_assignment.upstream->connectionsEnded |= taken.foundClosed;
    if (taken.connection)
        co_return taken.connection;
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

asio::awaitable<ProcessIdentity>
UpstreamAttempt::askProcess(std::shared_ptr<UpstreamConnection> connection)
{
    UpstreamState &upstream = *m_assignment.upstream;
    const UpstreamRecord &record = upstream.record;
    const UpstreamReport report = co_await readReport(m_state.executor, connection, record);
    const ProcessIdentity identity = identify(report, record);
    if (m_cancelled || identity == ProcessIdentity::Lost)
        co_return ProcessIdentity::Lost;
    if (report.whole && !report.misdirected)
        upstream.reportsNoStart = !report.startedAt;
    UpstreamTable::recordProcess(upstream, identity, steadyNow());
    m_state.metrics.add("tamarack_upstream_reports_total",
                        fmt::format("outcome=\"{}\"", processIdentityName(identity)));
    if (identity == ProcessIdentity::Other)
        logEvent(LogLevel::Warning, "upstream_not_as_listed",
                 {{"request", m_request.facts.id},
                  {"upstream", record.id},
                  {"born", record.born},
                  {"found", report.startedAt.value_or(0)}});
    co_return identity;
}

bool UpstreamAttempt::needsIdentity() const
{
    const UpstreamState &upstream = *m_assignment.upstream;
    const bool mayBeOther = upstream.connectionsEnded
                            || steadyNow() < upstream.restartSuspectedUntil
                            || !m_state.upstreamListAge.isCurrent(bootNow());
    return m_request.continuesStream || (m_request.newStream && mayBeOther);
}

asio::awaitable<bool> UpstreamAttempt::admitsProcess()
{
    const bool asked = m_assignment.upstream->reportsStart();
    ProcessIdentity identity = ProcessIdentity::NotReported;
    if (asked)
        identity = co_await askProcess(m_connection);
    m_assignment.upstream->connectionsEnded = identity == ProcessIdentity::Lost;
    logEvent(LogLevel::Info, "upstream_identified",
             {{"request", m_request.facts.id},
              {"upstream", m_assignment.upstream->record.id},
              {"identity", processIdentityName(identity)},
              {"continues", m_request.continuesStream}});
    m_identified = identity == ProcessIdentity::AsListed;
    m_reusedConnection = m_reusedConnection || asked;
    if (identity == ProcessIdentity::Lost || identity == ProcessIdentity::Other)
        co_return false;
    const bool listIsCurrent = m_state.upstreamListAge.isCurrent(bootNow());
    if (m_request.continuesStream && !m_identified && !listIsCurrent)
        co_return false;
    if (asked && !m_connection->reusable()) {
        m_connection->close();
        m_connection = co_await connect();
    }
    co_return m_connection != nullptr;
}

HttpRequest UpstreamAttempt::outgoing() const
{
    const HttpRequest &incoming = m_request.incoming;
    platform::DispatchFacts dispatch;
    dispatch.upstreamId = m_assignment.upstream->record.id;
    dispatch.timeLeft =
        std::chrono::duration_cast<milliseconds>(m_request.deadlineAt - steadyNow());
    dispatch.workspace = m_request.workspace;
    dispatch.resumeAfter = m_request.facts.resumeAfter;
    if (const auto lastId = m_relay.events().lastId())
        dispatch.resumeAfter = lastId;
    return {incoming.method, incoming.target, platform::encodeDispatch(m_request.facts, dispatch),
            incoming.body};
}

asio::awaitable<AttemptEnd> UpstreamAttempt::readResponse()
{
    for (int skipped = 0; skipped <= maxSkippedResponses; ++skipped) {
        auto head = co_await m_connection->readHead();
        if (!head) {
            const bool spoiled = head.error().kind == ErrorKind::UpstreamFailed;
            co_return spoiled ? AttemptEnd::Spoiled : AttemptEnd::Broken;
        }
        m_response.status = head->status;
        m_response.facts = platform::decodeAnswer(head->status, head->headers);
        if (isOwnResponse()) {
            if (!m_response.facts.misdirected) {
                m_state.applyStatement(*m_assignment.upstream, m_response.facts.statement,
                                       m_sentAt);
                m_state.recordOccupancy(*m_assignment.upstream, m_response.facts, m_sentAt);
            }
            const AttemptEnd headOutcome = classifyHead();
            const bool streams = m_request.streams && m_response.status == okStatus;
            if (headOutcome == AttemptEnd::Whole && streams)
                co_return co_await relayStream();
            const bool deliverable = headOutcome == AttemptEnd::Whole
                                     || (headOutcome == AttemptEnd::Failed && !m_relay.started());
            if (deliverable)
                co_return co_await bufferResponse(headOutcome);
            if (headOutcome != AttemptEnd::Spoiled)
                co_await skipResponse();
            co_return headOutcome;
        }
        logEvent(LogLevel::Warning, "answer_of_another_request",
                 {{"request", m_request.facts.id},
                  {"answers", m_response.facts.requestId},
                  {"reused", m_reusedConnection}});
        const bool skippable = co_await skipResponse();
        if (!skippable)
            co_return AttemptEnd::Spoiled;
    }
    co_return AttemptEnd::Spoiled;
}

bool UpstreamAttempt::isOwnResponse() const
{
    const std::string &answered = m_response.facts.requestId;
    // On a reused connection, a response without an id may belong to an earlier request.
    return answered == m_request.facts.id || (answered.empty() && !m_reusedConnection);
}

asio::awaitable<bool> UpstreamAttempt::skipResponse()
{
    std::size_t size = 0;
    while (size < maxSkippedResponseBytes) {
        const auto piece = co_await m_connection->readBody();
        if (!piece)
            co_return false;
        if (piece->empty())
            co_return true;
        size += piece->size();
    }
    co_return false;
}

AttemptEnd UpstreamAttempt::classifyHead() const
{
    const ResponseFacts &facts = m_response.facts;
    const int status = m_response.status;
    if (facts.notExecuted || facts.misdirected)
        return AttemptEnd::NotExecuted;
    const bool answersThis = facts.requestId == m_request.facts.id;
    if (!answersThis || !facts.hasSignature || facts.encoded)
        return AttemptEnd::Spoiled;
    if (status >= firstServerError || statesNotProcessed(status))
        return statesNotProcessed(status) ? AttemptEnd::Spoiled : AttemptEnd::Failed;
    if (m_relay.started() && !m_relay.isContinuedBy(m_response))
        return AttemptEnd::Failed;
    return AttemptEnd::Whole;
}

bool UpstreamAttempt::mayDeliver()
{
    return !m_request.race || m_request.race->tryWin(*this);
}

asio::awaitable<AttemptEnd> UpstreamAttempt::relayStream()
{
    const EventScanner &scanner = m_relay.events();
    bool delivers = false;
    while (true) {
        const auto piece = co_await m_connection->readBody();
        if (!piece)
            co_return AttemptEnd::Broken;
        // A response without an event must not win.
        if (piece->empty() && !delivers && m_request.race && m_request.race->isContested())
            co_return AttemptEnd::Spoiled;
        if (!mayDeliver())
            co_return AttemptEnd::Broken;
        if (!std::exchange(delivers, true))
            m_relay.startResponse();
        if (piece->empty())
            break;
        const std::string_view events = m_relay.takeEvents(*piece);
        if (scanner.hasProgressed())
            recordEvents();
        if (!events.empty()) {
            const bool forwarded = co_await m_relay.forward(events, m_response);
            if (!forwarded) {
                m_clientGone = true;
                co_return AttemptEnd::Broken;
            }
        }
        if (scanner.fault() || scanner.isOverlong()) {
            reportEventFault();
            co_return AttemptEnd::Spoiled;
        }
    }
    if (scanner.hasPartial())
        co_return AttemptEnd::Broken;
    // Nothing shows whether the stream ends here or has lost its rest.
    if (!scanner.hasProgressed()) {
        reportEventFault();
        co_return AttemptEnd::Spoiled;
    }
    recordPace(EngineTimeModel::minPaceEvents);
    const bool complete = co_await confirmEnd();
    co_return m_cancelled || !complete ? AttemptEnd::Broken : AttemptEnd::Whole;
}

void UpstreamAttempt::recordEvents()
{
    recordFirstToken();
    recordPace(paceSampleEvents);
    if (m_request.newStream && !m_origin)
        m_origin = m_state.beginStream(*m_request.newStream, *m_assignment.upstream, m_identified);
}

void UpstreamAttempt::reportEventFault() const
{
    const EventScanner &events = m_relay.events();
    std::string_view fault = events.isOverlong() ? "overlong" : "no_events";
    if (events.fault())
        fault = eventFaultName(*events.fault());
    m_state.metrics.add("tamarack_stream_faults_total", fmt::format("fault=\"{}\"", fault));
    logEvent(LogLevel::Warning, "stream_out_of_sequence",
             {{"request", m_request.facts.id},
              {"upstream", m_assignment.upstream->record.id},
              {"version", m_assignment.upstream->record.version},
              {"fault", fault},
              {"last_event", events.lastId().value_or(0)},
              {"found", events.faultId() ? std::to_string(*events.faultId()) : ""},
              {"events", events.events()},
              {"continues", m_request.continuesStream}});
}

asio::awaitable<AttemptEnd> UpstreamAttempt::bufferResponse(AttemptEnd headOutcome)
{
    m_bodyMemory.emplace(m_state.responseBuffers);
    while (true) {
        const auto piece = co_await m_connection->readBody();
        if (!piece)
            co_return AttemptEnd::Broken;
        if (piece->empty())
            break;
        if (!appendToBody(*piece))
            co_return AttemptEnd::Spoiled;
    }
    if (headOutcome == AttemptEnd::Whole && !mayDeliver())
        co_return AttemptEnd::Broken;
    recordFirstToken();
    const bool complete = co_await confirmEnd();
    co_return complete ? headOutcome : AttemptEnd::Broken;
}

bool UpstreamAttempt::appendToBody(std::string_view piece)
{
    std::string &body = m_response.body;
    const std::size_t size = body.size() + piece.size();
    if (size > body.capacity()) {
        const std::size_t capacity = std::max(size, 2 * body.capacity());
        if (!m_bodyMemory->tryResize(capacity)) {
            m_state.metrics.add("tamarack_responses_too_large_total", "");
            logEvent(LogLevel::Warning, "response_too_large",
                     {{"request", m_request.facts.id},
                      {"upstream", m_assignment.upstream->record.id},
                      {"status", m_response.status},
                      {"bytes", size},
                      {"all_bytes", m_state.responseBuffers.size()},
                      {"responses", m_state.responseBuffers.bodies()}});
            return false;
        }
        body.reserve(capacity);
    }
    body.append(piece);
    return true;
}

asio::awaitable<bool> UpstreamAttempt::confirmEnd()
{
    if (!m_connection->endsWithConnection())
        co_return true;
    UpstreamState &upstream = *m_assignment.upstream;
    const auto made =
        co_await UpstreamConnection::makeConnection(m_state.executor, upstream.record.endpoint);
    m_state.metrics.add("tamarack_connection_checks_total",
                        made ? "outcome=\"accepted\"" : "outcome=\"refused\"");
    bool running = made.has_value();
    if (made) {
        const ProcessIdentity identity = co_await askProcess(*made);
        running = identity == ProcessIdentity::AsListed || identity == ProcessIdentity::NotReported;
        (*made)->close();
    }
    if (!running)
        logEvent(LogLevel::Warning, "response_end_unconfirmed",
                 {{"request", m_request.facts.id},
                  {"upstream", upstream.record.id},
                  {"events", m_relay.events().events()}});
    co_return running;
}

void UpstreamAttempt::recordFirstToken()
{
    if (m_firstTokenAt)
        return;
    m_firstTokenAt = steadyNow();
    UpstreamState &upstream = *m_assignment.upstream;
    m_state.upstreams.firstToken(upstream, m_assignment.freshTokens);
    if (m_response.status == okStatus)
        m_state.upstreams.recordFirstToken(upstream,
                                           m_assignment.backlogTokens + m_assignment.freshTokens,
                                           *m_firstTokenAt - m_sentAt);
}

void UpstreamAttempt::recordPace(std::uint64_t minEvents)
{
    const std::uint64_t events = m_relay.events().events();
    const TimePoint now = steadyNow();
    if (!m_paceSampledAt) {
        m_paceSampledAt = now;
        m_paceSampledEvents = events;
    }
    const std::uint64_t newEvents = events - m_paceSampledEvents;
    if (!m_request.first || newEvents < minEvents)
        return;
    m_state.upstreams.recordEvents(*m_assignment.upstream, static_cast<std::uint32_t>(newEvents),
                                   now - *m_paceSampledAt);
    m_paceSampledAt = now;
    m_paceSampledEvents = events;
}

void UpstreamAttempt::releaseConnection(AttemptEnd end)
{
    const auto connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    const ResponseFacts &facts = m_response.facts;
    const bool clean = end == AttemptEnd::Whole || end == AttemptEnd::Failed
                       || (end == AttemptEnd::NotExecuted && !facts.misdirected);
    const UpstreamState &upstream = *m_assignment.upstream;
    const bool leaving = upstream.gone || upstream.terms.isLeaving();
    if (clean && connection->reusable() && !facts.closing && !leaving)
        m_state.pool.put(upstream.key, connection, facts.keepAlive, steadyNow());
    else
        connection->close();
}

} // namespace tamarack
