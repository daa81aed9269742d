#include "direct/HedgedAttempt.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "process/Timers.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

std::string_view denialName(HedgeDenial denial)
{
    switch (denial) {
    case HedgeDenial::Loaded:
        return "loaded";
    case HedgeDenial::ShareUsedUp:
        return "share_used_up";
    }
    return "unknown";
}

} // namespace

/// An attempt with the upstream that it occupies.
struct HedgedAttempt::Lane
{
    Lane(TrafficState &state, const Assignment &given, ResponseRelay &relay, AttemptRequest request)
        : assignment(given)
        , attempt(state, given, relay, std::move(request))
    {}

    Assignment assignment;
    UpstreamAttempt attempt;
    std::optional<AttemptEnd> end;
};

HedgedAttempt::HedgedAttempt(TrafficState &state, const Assignment &assignment,
                             ResponseRelay &relay, const AttemptRequest &request)
    : m_state(state)
    , m_relay(relay)
    , m_request(request)
    , m_timer(state.executor)
    , m_secondEnded(state.executor, TimePoint::max())
{
    m_request.race = &m_race;
    m_first = std::make_unique<Lane>(m_state, assignment, m_relay, m_request);
    m_race.add(m_first->attempt);
}

HedgedAttempt::~HedgedAttempt() = default;

UpstreamAttempt &HedgedAttempt::attempt()
{
    return hedgeWon() ? m_second->attempt : m_first->attempt;
}

const Assignment &HedgedAttempt::assignment() const
{
    return hedgeWon() ? m_second->assignment : m_first->assignment;
}

std::optional<UpstreamKey> HedgedAttempt::hedgedAt() const
{
    const bool sent = m_second && m_second->attempt.sent();
    return sent ? std::optional(m_second->assignment.upstream->key) : std::nullopt;
}

bool HedgedAttempt::hedgeWon() const
{
    return m_second && m_race.winner() == &m_second->attempt;
}

UpstreamPtr HedgedAttempt::otherBroken() const
{
    if (!m_second)
        return nullptr;
    const Lane &other = hedgeWon() ? *m_first : *m_second;
    const bool broke = other.end == AttemptEnd::Broken && !other.attempt.cancelled();
    return broke ? other.assignment.upstream : nullptr;
}

void HedgedAttempt::cancel()
{
    m_over = true;
    m_timer.cancel();
    m_first->attempt.cancel();
    if (m_second)
        m_second->attempt.cancel();
}

asio::awaitable<AttemptEnd> HedgedAttempt::run(std::optional<Terms> terms)
{
    m_terms = std::move(terms);
    if (m_terms)
        armTimer();
    const AttemptEnd end = co_await m_first->attempt.run();
    m_first->end = end;
    m_over = true;
    m_timer.cancel();
    const auto took = m_first->attempt.firstTokenTime();
    if (!m_second && took && end == AttemptEnd::Whole)
        m_state.hedging.recordFirstToken(m_request.service, m_first->assignment.predicted, *took);
    if (!m_second)
        co_return end;
    co_return co_await settle(end);
}

void HedgedAttempt::armTimer()
{
    const auto delay = m_state.hedging.delay(m_request.service, m_first->assignment.predicted);
    if (!delay)
        return;
    m_delay = *delay;
    m_timer.expires_after(m_delay);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->startHedge();
    });
}

void HedgedAttempt::startHedge()
{
    const bool isSlow = m_first->attempt.sent() && !m_first->attempt.firstTokenAt();
    if (m_over || m_race.winner() || !isSlow || !m_terms->maySend())
        return;
    const std::string &service = m_request.service;
    const TimePoint now = steadyNow();
    const HedgeLoad load{m_state.queue.waitingEverywhere(service),
                         m_state.upstreams.freePlaces(service, now),
                         m_state.upstreams.places(service, now)};
    if (const auto denial = m_state.hedging.tryHedge(service, load, now)) {
        logHedge(denialName(*denial), load);
        return;
    }
    const bool inBudget = m_state.retries.tryReserve(service, now);
    const auto assignment = inBudget ? assignHedge() : std::nullopt;
    if (!assignment) {
        if (inBudget)
            m_state.retries.release(service);
        m_state.hedging.release(service);
        logHedge(inBudget ? "no_upstream" : "no_budget", load);
        return;
    }
    AttemptRequest request = m_request;
    request.first = false;
    m_second = std::make_unique<Lane>(m_state, *assignment, m_relay, std::move(request));
    m_race.add(m_second->attempt);
    m_state.hedging.recordSlow(service, m_first->assignment.predicted, m_delay);
    logHedge("sent", load);
    asio::co_spawn(
        m_state.executor,
        [self = shared_from_this(), owner = m_terms->owner.lock()] { return self->runHedge(); },
        asio::detached);
}

std::optional<Assignment> HedgedAttempt::assignHedge()
{
    const UpstreamRecord &first = m_first->assignment.upstream->record;
    m_terms->queued.excluded.push_back(m_first->assignment.upstream->key);
    m_terms->queued.version = first.version;
    return m_state.queue.assignAtOnce(m_terms->queued, steadyNow());
}

asio::awaitable<void> HedgedAttempt::runHedge()
{
    const AttemptEnd end = co_await m_second->attempt.run();
    m_second->end = end;
    if (!m_second->attempt.sent()) {
        m_state.retries.release(m_request.service);
        m_state.hedging.release(m_request.service);
    }
    if (!hedgeWon())
        releasePlace(*m_second);
    m_secondEnded.cancel();
}

asio::awaitable<AttemptEnd> HedgedAttempt::settle(AttemptEnd end)
{
    const bool mayWin = m_race.winner() != &m_first->attempt;
    if (!mayWin)
        m_second->attempt.cancel();
    // The response of the second may go on for long after the first has ended.
    const bool wonBefore = hedgeWon();
    if (wonBefore)
        releasePlace(*m_first);
    if (mayWin && !m_second->end)
        co_await m_secondEnded.async_wait(asio::as_tuple(asio::use_awaitable));
    const bool won = hedgeWon();
    m_state.metrics.add("tamarack_hedges_total", won ? "outcome=\"won\"" : "outcome=\"lost\"");
    if (!won)
        co_return end;
    if (!wonBefore)
        releasePlace(*m_first);
    co_return *m_second->end;
}

void HedgedAttempt::releasePlace(Lane &lane)
{
    m_state.releasePlace(lane.assignment, m_request.service, m_terms->queued.rank,
                         lane.attempt.firstTokenAt().has_value());
}

void HedgedAttempt::logHedge(std::string_view outcome, const HedgeLoad &load) const
{
    m_state.metrics.add("tamarack_hedges_total", fmt::format("outcome=\"{}\"", outcome));
    logEvent(LogLevel::Info, "hedge_decided",
             {{"request", m_request.facts.id},
              {"service", m_request.service},
              {"outcome", outcome},
              {"slow_upstream", m_first->assignment.upstream->record.id},
              {"upstream", m_second ? m_second->assignment.upstream->record.id : ""},
              {"predicted_ms", toMs(m_first->assignment.predicted)},
              {"delay_ms", toMs(m_delay)},
              {"waiting", load.waiting},
              {"free", load.freePlaces},
              {"places", load.places}});
}

} // namespace tamarack
