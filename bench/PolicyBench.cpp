#include "PolicyRun.h"

#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <spdlog/fmt/fmt.h>

ABSL_FLAG(std::string, workload, "bench/workloads/mediation.json", "workload data file");
ABSL_FLAG(std::string, scenario, "levels", "levels, faults, burst or variants");
ABSL_FLAG(std::string, out, "", "folder for the CSV file and the plot; empty prints only");
ABSL_FLAG(int, seed, 1, "seed of the arrivals and the runs");
ABSL_FLAG(double, seconds, 40, "measured time of each run");

namespace {

using namespace tamarack;
using namespace tamarack::bench;

constexpr std::chrono::seconds warmUp{15};
constexpr milliseconds betweenTokensTarget{35};

/// One run with its name in the tables.
struct Row
{
    std::string policy;
    double load = 0;
    RunSpec spec;
    RunReport report;
};

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

RunSpec makeSpec(const Workload &workload, double capacity, double load, Policy policy)
{
    const auto seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
    RunSpec spec;
    spec.workload = workload;
    spec.policy = policy;
    spec.seed = seed;
    const Duration measured = toDuration(absl::GetFlag(FLAGS_seconds));
    spec.measureFrom = warmUp;
    spec.measureUntil = warmUp + measured;
    spec.arrivals = makeArrivals(workload, {{warmUp + measured, capacity * load}}, seed);
    return spec;
}

constexpr std::array allPolicies{Policy::Tamarack, Policy::FirstComeFirstServed, Policy::RoundRobin,
                                 Policy::LeastReported, Policy::TwoChoices};

std::vector<Row> levelRows(const Workload &workload, double capacity)
{
    std::vector<Row> rows;
    for (const double load : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0}) {
        for (const Policy policy : allPolicies)
            rows.push_back(
                {policyName(policy), load, makeSpec(workload, capacity, load, policy), {}});
    }
    return rows;
}

std::vector<Row> faultScenarioRows(const Workload &workload, double capacity)
{
    using Kind = EngineEvent::Kind;
    std::vector<Row> rows;
    for (const double load : {0.7, 2.0}) {
        for (const Policy policy : allPolicies) {
            RunSpec spec = makeSpec(workload, capacity, load, policy);
            spec.events = {{warmUp + std::chrono::seconds(5), 1, Kind::Slow},
                           {warmUp + std::chrono::seconds(15), 2, Kind::Crash},
                           {warmUp + std::chrono::seconds(25), 3, Kind::Leave}};
            rows.push_back({policyName(policy), load, std::move(spec), {}});
        }
    }
    return rows;
}

std::vector<Row> burstRows(const Workload &workload, double capacity)
{
    const auto seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
    std::vector<LoadPhase> phases{{warmUp, capacity * 0.6}};
    const Duration end = warmUp + toDuration(absl::GetFlag(FLAGS_seconds));
    for (Duration at = warmUp; at < end; at += std::chrono::seconds(10)) {
        phases.push_back({std::chrono::seconds(3), capacity * 4});
        phases.push_back({std::chrono::seconds(7), capacity * 0.5});
    }
    std::vector<Row> rows;
    for (const Policy policy : allPolicies) {
        RunSpec spec = makeSpec(workload, capacity, 1, policy);
        spec.arrivals = makeArrivals(workload, phases, seed);
        rows.push_back({policyName(policy), 0, std::move(spec), {}});
    }
    return rows;
}

/// One switch of the product's policy at a time.
std::vector<Row> variantRows(const Workload &workload, double capacity)
{
    using Adjust = std::function<void(harness::HarnessOptions &)>;
    const auto entry = [](void (*change)(EntryOptions &)) -> Adjust {
        return [change](harness::HarnessOptions &options) { options.adjustEntry = change; };
    };
    const auto gate = [](void (*change)(GateOptions &)) -> Adjust {
        return [change](harness::HarnessOptions &options) { options.adjustGate = change; };
    };
    const std::vector<std::pair<std::string, Adjust>> variants{
        {"as shipped", {}},
        {"order: arrival", entry([](EntryOptions &o) { o.order = QueueOrder::Arrival; })},
        {"order: deadline", entry([](EntryOptions &o) { o.order = QueueOrder::Deadline; })},
        {"no affinity", entry([](EntryOptions &o) { o.affinity = false; })},
        {"no first-token fit", entry([](EntryOptions &o) { o.firstTokenFit = false; })},
        {"no spare credits", gate([](GateOptions &o) { o.spareCredits = false; })},
        {"fixed limit 64", gate([](GateOptions &o) { o.adaptiveLimit = false; })},
    };
    std::vector<Row> rows;
    for (const double load : {0.8, 2.0}) {
        for (const auto &[name, adjust] : variants) {
            RunSpec spec = makeSpec(workload, capacity, load, Policy::Tamarack);
            spec.adjust = adjust;
            rows.push_back({name, load, std::move(spec), {}});
        }
    }
    return rows;
}

void runAll(std::vector<Row> &rows)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i)
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < rows.size(); index = next++)
                rows[index].report = runExperiment(rows[index].spec);
        });
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

/// How far the worst-off workspace is behind the mean, in percent points of its goodput.
double unfairness(const RunReport &report)
{
    std::uint64_t good = 0;
    std::uint64_t offered = 0;
    double worst = 100;
    for (const auto &[name, counts] : report.workspaces) {
        good += counts.first;
        offered += counts.second;
        worst = std::min(worst, share(counts.first, counts.second));
    }
    return share(good, offered) - worst;
}

std::string refusalText(const RunReport &report)
{
    std::string text;
    for (const auto &[reason, count] : report.refusals)
        text += fmt::format(" {}={}", reason, count);
    return text;
}

void printRows(const std::vector<Row> &rows, double capacity)
{
    fmt::print("{:<16} {:>5} | {:>6} {:>6} {:>6} {:>6} | {:>7} {:>6} | {:>6} | {:>6} {:>6} {:>6} "
               "| {:>4} {:>4} | {:>5} | {}\n",
               "policy", "load", "t0 %", "t1 %", "t2 %", "t3 %", "good/s", "of cap", "waste%",
               "ttft50", "ttft95", "ttft99", "g50", "g95", "unfair", "not whole");
    for (const Row &row : rows) {
        const RunReport &r = row.report;
        fmt::print("{:<16} {:>5.1f} |", row.policy, row.load);
        for (const TierReport &tier : r.tiers)
            fmt::print(" {:>6.1f}", share(tier.good, tier.offered));
        const auto &ttft = r.tiers[0].firstTokenMs;
        fmt::print(" | {:>7.1f} {:>5.1f}% | {:>6.2f} | {:>6.0f} {:>6.0f} {:>6.0f} | {:>4.0f} "
                   "{:>4.0f} | {:>5.1f} |{}{}\n",
                   r.goodput(), 100 * r.goodput() / capacity,
                   share(r.wastedTokens, r.prefillTokens), percentile(ttft, 0.5),
                   percentile(ttft, 0.95), percentile(ttft, 0.99),
                   percentileOfBins(r.gapsTopTier, 0.5), percentileOfBins(r.gapsTopTier, 0.95),
                   unfairness(r), refusalText(r),
                   r.violations > 0 ? fmt::format(" VIOLATIONS={}", r.violations) : "");
    }
}

/// Tokens of each engine relative to the fastest of the run.
void printEngines(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        fmt::print("engines {:<16} {:>4.1f}:", row.policy, row.load);
        for (std::size_t i = 0; i < row.report.engineTokens.size(); ++i)
            fmt::print(" g{}={}", row.spec.workload.engines[i], row.report.engineTokens[i]);
        fmt::print("\n");
    }
}

void writeFiles(const std::vector<Row> &rows, const std::string &name, double capacity)
{
    namespace fs = std::filesystem;
    const fs::path dir = absl::GetFlag(FLAGS_out);
    if (dir.empty())
        return;
    fs::create_directories(dir);
    std::ofstream csv(dir / (name + ".csv"));
    csv << "policy,load,tier0,tier1,tier2,tier3,goodput,share_of_capacity,wasted_percent,"
           "ttft50,ttft95,ttft99,gap95,unfairness\n";
    for (const Row &row : rows) {
        const RunReport &r = row.report;
        csv << row.policy << ',' << row.load;
        for (const TierReport &tier : r.tiers)
            csv << ',' << share(tier.good, tier.offered);
        csv << ',' << r.goodput() << ',' << 100 * r.goodput() / capacity << ','
            << share(r.wastedTokens, r.prefillTokens) << ','
            << percentile(r.tiers[0].firstTokenMs, 0.5) << ','
            << percentile(r.tiers[0].firstTokenMs, 0.95) << ','
            << percentile(r.tiers[0].firstTokenMs, 0.99) << ','
            << percentileOfBins(r.gapsTopTier, 0.95) << ',' << unfairness(r) << '\n';
    }
    csv.close();
    std::ofstream plot(dir / (name + ".gp"));
    plot << "set datafile separator ','\nset terminal svg size 900,600\nset output '" << name
         << ".svg'\nset xlabel 'load, multiples of capacity'\n"
            "set ylabel 'top tier goodput, % of offered'\nset yrange [0:105]\nset key below\nplot ";
    std::string separator;
    for (const Policy policy : allPolicies) {
        plot << separator << "'< grep \"^" << policyName(policy) << ",\" " << name
             << ".csv' using 2:3 with linespoints title '" << policyName(policy) << "'";
        separator = ", ";
    }
    plot << '\n';
    plot.close();
    const std::string command = "cd '" + dir.string() + "' && gnuplot " + name + ".gp";
    if (std::system(command.c_str()) != 0)
        std::cerr << "gnuplot failed; the CSV file is complete\n";
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto workload = loadWorkload(absl::GetFlag(FLAGS_workload));
    if (!workload) {
        std::cerr << workload.error().message << '\n';
        return 2;
    }
    const double capacity = capacityOf(*workload, betweenTokensTarget,
                                       static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)));
    fmt::print("workload {}, seed {}: the engines can serve {:.1f} requests a second\n",
               workload->name, absl::GetFlag(FLAGS_seed), capacity);
    const std::string scenario = absl::GetFlag(FLAGS_scenario);
    std::vector<Row> rows = scenario == "faults"     ? faultScenarioRows(*workload, capacity)
                            : scenario == "burst"    ? burstRows(*workload, capacity)
                            : scenario == "variants" ? variantRows(*workload, capacity)
                                                     : levelRows(*workload, capacity);
    runAll(rows);
    printRows(rows, capacity);
    printEngines(rows);
    writeFiles(rows, workload->name + "-" + scenario, capacity);
    return 0;
}
