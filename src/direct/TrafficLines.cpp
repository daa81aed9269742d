#include "base/Hash.h"
#include "base/Log.h"
#include "direct/TrafficState.h"
#include "process/Timers.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>

// What upstreams state and what becomes of it, in the log and the metrics.
namespace tamarack {

void TrafficState::logTermsChanges(const UpstreamState &upstream, TermsChanges changes,
                                   std::string_view source)
{
    const UpstreamTerms &terms = upstream.terms;
    if (changes.limit) {
        metrics.add("tamarack_upstream_statements_total", "about=\"limit\"");
        logEvent(LogLevel::Info, "upstream_limit",
                 {{"upstream", upstream.record.id},
                  {"limited", terms.isLimited()},
                  {"per_s", terms.limitPerSecond().value_or(0)},
                  {"own_share_per_s", terms.isLimited() ? terms.share() : 0.0},
                  {"source", source},
                  {"recent_sends", terms.recentSends(steadyNow())},
                  {"in_flight", upstream.inFlight()}});
    }
    if (changes.closed) {
        metrics.add("tamarack_upstream_statements_total", "about=\"closed\"");
        logEvent(LogLevel::Info, "upstream_closed",
                 {{"upstream", upstream.record.id},
                  {"for_ms", toMs(terms.closedUntil() - steadyNow())},
                  {"in_flight", upstream.inFlight()}});
    }
    if (changes.leaving) {
        metrics.add("tamarack_upstream_statements_total", "about=\"leaving\"");
        pool.drop(upstream.key);
        logEvent(LogLevel::Info, "upstream_leaving",
                 {{"upstream", upstream.record.id},
                  {"born", upstream.record.born},
                  {"listed", !upstream.gone},
                  {"source", source},
                  {"in_flight", upstream.inFlight()}});
    }
}

void TrafficState::logPartQuarantines()
{
    const std::set<PromptPartId> &current = partQuarantine.quarantinedParts();
    if (current == m_loggedQuarantines)
        return;
    for (const PromptPartId part : current) {
        if (m_loggedQuarantines.contains(part))
            continue;
        const PartQuarantine::Evidence evidence = partQuarantine.evidence(part);
        metrics.add("tamarack_part_quarantines_total", "");
        logEvent(LogLevel::Warning, "part_quarantined",
                 {{"part", hex64(part)},
                  {"crashes", evidence.crashes},
                  {"last_answer_ms",
                   evidence.answeredAt ? toMs(steadyNow() - *evidence.answeredAt) : -1}});
    }
    for (const PromptPartId part : m_loggedQuarantines)
        if (!current.contains(part))
            logEvent(LogLevel::Info, "part_released", {{"part", hex64(part)}});
    metrics.set("tamarack_parts_quarantined", "", current.size());
    m_loggedQuarantines = current;
}

void TrafficState::recordOccupancy(UpstreamState &upstream, const ResponseFacts &response,
                                   TimePoint sentAt)
{
    if (response.malformedOccupancy) {
        metrics.add("tamarack_occupancies_ignored_total", "");
        if (!std::exchange(upstream.statedOddLoad, true))
            logEvent(LogLevel::Warning, "upstream_occupancy_ignored",
                     {{"upstream", upstream.record.id}});
    }
    if (!response.occupancy)
        return;
    const UpstreamOccupancy &stated = *response.occupancy;
    const TimePoint now = steadyNow();
    const int freeElsewhere = upstreams.freePlaces(upstream.record.service, now)
                              - UpstreamTable::freePlaces(upstream, now);
    const bool queues = stated.waiting > UpstreamTable::fewWaiting;
    std::string_view finding = "short_queue";
    if (queues)
        finding = freeElsewhere > 0 ? "queued_beside_free" : "queued";
    metrics.add("tamarack_occupancies_total", fmt::format("finding=\"{}\"", finding));
    logEvent(queues ? LogLevel::Info : LogLevel::Debug, "upstream_occupancy",
             {{"upstream", upstream.record.id},
              {"service", upstream.record.service},
              {"running", stated.running},
              {"waiting", stated.waiting},
              {"slots", stated.slots},
              {"pace", stated.pace.value_or(0)},
              {"own", upstream.own.inFlight},
              {"counted", upstream.inFlight()},
              {"expected", upstream.requests(now)},
              {"former_age_ms", toMs(upstream.occupancy.age(now).value_or(milliseconds(-1)))},
              {"factor", upstream.factor},
              {"free_elsewhere", freeElsewhere},
              {"sent_ms", toMs(now - sentAt)}});
    if (!settings.direct.usesOccupancy)
        return;
    const int freeBefore = UpstreamTable::freePlaces(upstream, now);
    UpstreamTable::recordOccupancy(upstream, stated, now);
    if (UpstreamTable::freePlaces(upstream, now) > freeBefore)
        pump();
}

} // namespace tamarack
