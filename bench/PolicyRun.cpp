#include "PolicyRun.h"

#include "PushSimulation.h"

#include <algorithm>

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarack::bench {

namespace json = boost::json;
using harness::CallRecord;
using harness::CoreHarness;

namespace {

constexpr milliseconds betweenTokensTarget{35};
constexpr milliseconds topFirstTokenTarget{420};
constexpr int targetFactorPerTier = 3;
constexpr std::chrono::seconds drainTime{40};
constexpr std::chrono::seconds callerPatience{30};
constexpr milliseconds settleTime{1000};
constexpr double slowdown = 10;
constexpr std::chrono::seconds crashRestart{10};

void count(RunReport &report, const RunSpec &spec, const Arrival &arrival, const Served &served)
{
    if (arrival.at < spec.measureFrom || arrival.at >= spec.measureUntil)
        return;
    TierReport &tier = report.tiers[arrival.tier];
    auto &workspace = report.workspaces[arrival.workspace];
    const bool good = isGood(served, arrival.tier);
    ++tier.offered;
    ++workspace.second;
    tier.whole += served.whole;
    tier.good += good;
    workspace.first += good;
    if (served.whole)
        tier.firstTokenMs.push_back(
            std::chrono::duration<double, std::milli>(served.firstToken).count());
    else
        ++report.refusals[served.refusal];
}

Served servedOf(const CallRecord &call)
{
    Served served;
    served.whole = call.whole;
    if (!call.whole)
        served.refusal = call.failure ? std::string(errorAnswer(*call.failure).name) : "open";
    served.firstToken = call.firstByteAt - call.sentAt;
    if (call.pieces > 1)
        served.meanGap = (call.lastByteAt - call.firstByteAt) / (call.pieces - 1);
    return served;
}

void apply(CoreHarness &harness, const EngineEvent &event)
{
    switch (event.kind) {
    case EngineEvent::Kind::Slow:
        return harness.slowUpstream(event.engine, slowdown);
    case EngineEvent::Kind::Crash:
        return harness.crashUpstream(event.engine, crashRestart);
    case EngineEvent::Kind::Leave:
        return harness.setLeaving(event.engine, true);
    }
}

RunReport runHarness(const RunSpec &spec)
{
    harness::HarnessOptions options;
    options.entries = spec.workload.entries;
    options.engines = spec.workload.engines;
    options.services = 0;
    options.seed = spec.seed;
    options.configText = experimentConfig(spec.workload);
    options.checkAlways = true;
    if (spec.policy == Policy::FirstComeFirstServed)
        options.adjustEntry = [](EntryOptions &entry) { entry.order = QueueOrder::Arrival; };
    if (spec.adjust)
        spec.adjust(options);
    CoreHarness harness(options);
    harness.run(settleTime);
    std::vector<std::size_t> calls(spec.arrivals.size());
    const bool tiers = spec.policy != Policy::FirstComeFirstServed;
    for (std::size_t i = 0; i < spec.arrivals.size(); ++i)
        harness.after(spec.arrivals[i].at, [&, i] {
            const Arrival &arrival = spec.arrivals[i];
            calls[i] = harness.callModel(arrival.entry, tiers ? arrival.tier : TierRank{0},
                                         arrival.workspace, fmt::format("request {}", i),
                                         arrival.promptTokens, arrival.outputTokens, callerPatience,
                                         arrival.prefix, arrival.prefixTokens);
        });
    for (const EngineEvent &event : spec.events)
        harness.after(event.at, [&harness, event] { apply(harness, event); });
    harness.run(spec.measureUntil + drainTime);
    RunReport report;
    for (std::size_t i = 0; i < spec.arrivals.size(); ++i)
        count(report, spec, spec.arrivals[i], servedOf(harness.calls()[calls[i]]));
    for (std::size_t g = 0; g < spec.workload.engines.size(); ++g)
        report.engineTokens.push_back(harness.generatedTokens(static_cast<int>(g)));
    report.prefillTokens = harness.prefillTokens();
    report.wastedTokens = harness.wastedPrefillTokens();
    report.gapsTopTier = harness.gapHistogram(0);
    report.violations = harness.violations().size();
    return report;
}

RunReport runPush(const RunSpec &spec)
{
    PushSimulation simulation(spec, callerPatience);
    const std::vector<Served> served = simulation.run(spec.measureUntil + drainTime);
    RunReport report = simulation.report();
    for (std::size_t i = 0; i < spec.arrivals.size(); ++i)
        count(report, spec, spec.arrivals[i], served[i]);
    return report;
}

} // namespace

std::string policyName(Policy policy)
{
    switch (policy) {
    case Policy::Tamarack:
        return "tamarackseam";
    case Policy::RoundRobin:
        return "round robin";
    case Policy::LeastReported:
        return "least reported";
    case Policy::TwoChoices:
        return "two choices";
    case Policy::FirstComeFirstServed:
        return "fcfs without tiers";
    }
    return "";
}

double RunReport::goodput() const
{
    double good = 0;
    for (const TierReport &tier : tiers)
        good += static_cast<double>(tier.good);
    return good / seconds;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return values[index];
}

double percentileOfBins(const std::vector<std::uint64_t> &bins, double share)
{
    std::uint64_t total = 0;
    for (const auto bin : bins)
        total += bin;
    double left = share * static_cast<double>(total);
    for (std::size_t i = 0; i < bins.size(); ++i) {
        left -= static_cast<double>(bins[i]);
        if (left <= 0)
            return static_cast<double>(i);
    }
    return static_cast<double>(bins.size());
}

Duration firstTokenTarget(TierRank tier)
{
    Duration target = topFirstTokenTarget;
    for (TierRank i = 0; i < tier; ++i)
        target *= targetFactorPerTier;
    return target;
}

bool isGood(const Served &served, TierRank tier)
{
    return served.whole && served.firstToken <= firstTokenTarget(tier)
           && served.meanGap <= betweenTokensTarget;
}

RunReport runExperiment(const RunSpec &spec)
{
    const bool push = spec.policy == Policy::RoundRobin || spec.policy == Policy::LeastReported
                      || spec.policy == Policy::TwoChoices;
    RunReport report = push ? runPush(spec) : runHarness(spec);
    report.seconds = std::chrono::duration<double>(spec.measureUntil - spec.measureFrom).count();
    return report;
}

std::string experimentConfig(const Workload &workload)
{
    constexpr int queueLimit = 4000;
    json::array tiers;
    for (TierRank tier = 0; tier < tierCount; ++tier)
        tiers.emplace_back(json::object{{"name", fmt::format("tier-{}", tier)},
                                        {"queueLimit", queueLimit},
                                        {"firstTokenMs", toMs(firstTokenTarget(tier))}});
    json::object workspaces;
    for (const WorkloadWorkspace &workspace : workload.workspaces)
        workspaces[workspace.name] = json::object{{"weight", 1}};
    return json::serialize(
        json::object{{"presetInForce", "ordinary"},
                     {"presets", json::object{{"ordinary", json::object{{"tiers", tiers}}}}},
                     {"workspaces", workspaces},
                     {"models", json::array{"model"}}});
}

} // namespace tamarack::bench
