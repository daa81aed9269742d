#include "base/AsioPch.h"
#include "base/Log.h"
#include "base/MetricLabel.h"
#include "direct/RequestFlow.h"
#include "process/Timers.h"

#include <spdlog/fmt/fmt.h>

// The lines that a request leaves in the log, with their metrics.
namespace tamarack {

void RequestFlow::logRefusal(const QueueRefusal &refusal) const
{
    const RefusalDetails &facts = refusal.details;
    logEvent(LogLevel::Info, "queue_refused",
             {{"request", m_facts.id},
              {"service", m_admitted.service},
              {"tier", static_cast<int>(m_admitted.tier)},
              {"route_tier", static_cast<int>(m_admitted.route.tier)},
              {"reason", facts.waitExpired ? "wait_over" : "not_reached"},
              {"free", facts.freePlaces},
              {"kept", facts.reserved},
              {"ahead", facts.ahead},
              {"starts_per_s", facts.startsPerSecond},
              {"fleet_ahead", facts.fleetAhead},
              {"view_age_ms", facts.viewAge ? toMs(*facts.viewAge) : -1},
              {"too_late", facts.appointment && facts.appointment->tooLate},
              {"expected_then", facts.appointment ? facts.appointment->expected : 0},
              {"retry_after_ms", toMs(refusal.retryAfter)}});
}

void RequestFlow::logEnd(std::string_view outcome, int status)
{
    const TimePoint now = steadyNow();
    const auto proofAge = m_state.freshness.age(bootNow());
    const std::string tier = fmt::format("tier=\"{}\"", m_admitted.tier);
    m_state.metrics.add("tamarack_requests_total", fmt::format("outcome=\"{}\"", outcome));
    m_state.metrics.add("tamarack_ranked_requests_total",
                        fmt::format("{},{},route_tier=\"{}\",outcome=\"{}\"",
                                    metricLabel("service", m_admitted.service), tier,
                                    m_admitted.route.tier, outcome));
    m_state.metrics.observe("tamarack_request_seconds", tier,
                            std::chrono::duration<double>(now - m_arrivedAt).count());
    if (m_firstToken)
        m_state.metrics.observe("tamarack_first_token_seconds", tier,
                                std::chrono::duration<double>(*m_firstToken).count());
    logEvent(LogLevel::Info, "request",
             {{"id", m_facts.id},
              {"route", m_admitted.route.name},
              {"workspace", m_admitted.workspace},
              {"tier", static_cast<int>(m_admitted.tier)},
              {"route_tier", static_cast<int>(m_admitted.route.tier)},
              {"config", m_admitted.configVersion},
              {"proof_age_ms", proofAge ? proofAge->count() : -1},
              {"prompt", m_facts.promptTokens.value_or(0)},
              {"expected_events", m_expectedEvents},
              {"events", m_relay.events().events()},
              {"last_event", m_relay.events().lastId().value_or(0)},
              {"output_tokens", m_facts.outputTokens},
              {"resumes", m_facts.resumedRequest},
              {"resume_after", m_facts.resumeAfter ? std::to_string(*m_facts.resumeAfter) : ""},
              {"upstream", m_assignment ? m_assignment->upstream->record.id : ""},
              {"version", m_assignment ? m_assignment->upstream->record.version : ""},
              {"factor", m_assignment ? m_assignment->upstream->factor : 0.0},
              {"predicted_ms", m_assignment ? toMs(m_assignment->predicted) : -1},
              {"raised", m_assignment && m_assignment->promoted},
              {"kept_return", m_assignment && m_assignment->keptReturn},
              {"sends", m_sends},
              {"hedged", m_wasHedged},
              {"hedge_won", m_hedgeWon},
              {"peers_heard", m_state.peers.reachableCount(now)},
              {"cost", m_admitted.cost},
              {"quota_left", m_state.quotas.level(m_admitted.workspace)},
              {"returned_ms", toMs(m_sinceFirstAttempt)},
              {"unread_ms", toMs(m_readAt - m_arrivedAt)},
              {"waited_ms", toMs(m_waited)},
              {"first_ms", m_firstToken ? toMs(*m_firstToken) : -1},
              {"pause_ms", toMs(m_relay.longestPause())},
              {"total_ms", toMs(now - m_arrivedAt)},
              {"status", status},
              {"outcome", outcome}});
}

} // namespace tamarack
