#include "control/MetricsReport.h"

#include "base/Metrics.h"
#include "gate/GateCore.h"
#include "sched/EntryCore.h"

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace {

std::string reasonLabel(ErrorKind kind)
{
    return fmt::format("reason=\"{}\"", errorAnswer(kind).name);
}

void refusal(Metrics &metrics, std::string_view reason, std::uint64_t count)
{
    metrics.set("tamarack_gate_refusals_total", fmt::format("reason=\"{}\"", reason), count);
}

} // namespace

void reportGate(Metrics &metrics, const GateCore &core)
{
    const GateCounters &counters = core.counters();
    metrics.set("tamarack_gate_started_total", "", counters.started);
    metrics.set("tamarack_gate_duplicate_dispatches_total", "", counters.duplicateDispatches);
    metrics.set("tamarack_gate_proved_not_run_total", "", counters.provedNotRun);
    metrics.set("tamarack_gate_crashes_total", "", counters.crashes);
    metrics.set("tamarack_prefill_tokens_total", "", counters.prefillTokens);
    metrics.set("tamarack_wasted_prefill_tokens_total", "", counters.wastedPrefillTokens);
    refusal(metrics, "credit_expired", counters.refusedExpired);
    refusal(metrics, "stale_incarnation", counters.refusedStale);
    refusal(metrics, "draining", counters.refusedDraining);
    refusal(metrics, "deadline_unmet", counters.refusedDeadline);
    refusal(metrics, "upstream_refused", counters.refusedEngine);
    refusal(metrics, "quarantined", counters.refusedQuarantined);
    const GateStatus status = core.status();
    metrics.gauge("tamarack_gate_in_flight", "", static_cast<double>(status.inFlight));
    metrics.gauge("tamarack_gate_limit", "", status.limit);
    metrics.gauge("tamarack_gate_open_credits", "", static_cast<double>(status.openCredits));
    metrics.gauge("tamarack_gate_kept_bytes", "", static_cast<double>(status.keptBytes));
    metrics.gauge("tamarack_config_generation", "", static_cast<double>(status.generation));
}

void reportEntry(Metrics &metrics, const EntryCore &core)
{
    const EntryCounters &counters = core.counters();
    for (const auto &[kind, count] : counters.refusals)
        metrics.set("tamarack_refusals_total", reasonLabel(kind), count);
    for (const auto &[kind, count] : counters.retries)
        metrics.set("tamarack_retries_total", reasonLabel(kind), count);
    metrics.set("tamarack_dispatched_total", "", counters.dispatched);
    metrics.set("tamarack_finished_total", "", counters.finished);
    metrics.set("tamarack_resumed_total", "", counters.resumed);
    metrics.set("tamarack_key_followed_total", "", counters.followed);
    metrics.set("tamarack_unclaimed_idempotent_total", "", counters.unclaimedIdempotent);
    metrics.set("tamarack_credits_returned_total", "", counters.creditsReturned);
    const EntryStatus status = core.status();
    const auto &queued = status.report.queuedByTier;
    for (std::size_t tier = 0; tier < queued.size(); ++tier) {
        const auto &name = core.config()->preset().tiers[tier].name;
        metrics.gauge("tamarack_queued", fmt::format("tier=\"{}\"", name), queued[tier]);
    }
    metrics.gauge("tamarack_in_flight", "", status.report.inFlight);
    metrics.gauge("tamarack_shed_level", "", status.closedLevel);
    metrics.gauge("tamarack_config_generation", "", static_cast<double>(status.report.generation));
}

} // namespace tamarack
