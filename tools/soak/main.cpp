#include "base/Log.h"
#include "process/Timers.h"
#include "soak/SoakRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, daemon, "build/tamarackseamd", "program of the daemon");
ABSL_FLAG(std::string, logs, "build/soak-logs",
          "directory of settings and logs, one folder a seed");
ABSL_FLAG(std::uint64_t, first, 1, "first seed");
ABSL_FLAG(std::uint64_t, seeds, 1, "number of seeds, one after the other");
ABSL_FLAG(double, minutes, 0, "go on with further seeds for so long; 0: run --seeds seeds");
ABSL_FLAG(bool, plan, false, "print the plans of the seeds and run nothing");
ABSL_FLAG(int, length_ms, 10000, "time under faults of one seed, in milliseconds");
ABSL_FLAG(std::uint64_t, entries, 3, "entries of a run, each a process");
ABSL_FLAG(std::uint64_t, upstreams, 4, "upstreams of a run");
ABSL_FLAG(std::uint64_t, clients, 24, "clients of a run");

namespace {

using namespace tamarack;
using namespace tamarack::soak;

void printPlan(const std::vector<Fault> &faults, const StorePlan &store)
{
    std::cout << "  store " << toString(store) << '\n';
    for (const Fault &fault : faults)
        std::cout << "  fault " << toString(fault) << '\n';
}

int printPlans(std::uint64_t first, std::uint64_t seeds)
{
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        std::cout << "seed " << seed << '\n';
        const milliseconds length(absl::GetFlag(FLAGS_length_ms));
        printPlan(drawFaults(seed, length), drawStorePlan(seed, length));
    }
    return 0;
}

constexpr int interruptedExit = 130;

enum class Outcome { Good, Broken, Interrupted };

/// The logs of a good run are removed.
Outcome runSeed(std::uint64_t seed)
{
    SoakOptions options;
    options.daemon = absl::GetFlag(FLAGS_daemon);
    options.directory = std::filesystem::path(absl::GetFlag(FLAGS_logs)) / std::to_string(seed);
    options.length = milliseconds(absl::GetFlag(FLAGS_length_ms));
    options.entries = absl::GetFlag(FLAGS_entries);
    options.upstreams = absl::GetFlag(FLAGS_upstreams);
    options.clients = absl::GetFlag(FLAGS_clients);
    std::filesystem::remove_all(options.directory);
    const SoakReport report = runSoak(seed, options);
    if (report.interrupted)
        return Outcome::Interrupted;
    std::cout << "seed " << seed << ": " << report.faults.size() << " faults, " << report.calls
              << " calls, " << report.served << " served, " << report.resumed
              << " streams resumed, " << report.wentOn << " went on, " << report.violations.size()
              << " promises broken" << std::endl;
    if (report.violations.empty()) {
        std::filesystem::remove_all(options.directory);
        return Outcome::Good;
    }
    printPlan(report.faults, report.store);
    for (const std::string &violation : report.violations)
        std::cout << "  broken: " << violation << '\n';
    std::cout << "  logs: " << options.directory.string() << std::endl;
    return Outcome::Broken;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Plays faults against real entries and checks their promises.");
    absl::ParseCommandLine(argc, argv);
    setLogLevel("off");
    const std::uint64_t first = absl::GetFlag(FLAGS_first);
    const std::uint64_t seeds = absl::GetFlag(FLAGS_seeds);
    constexpr int usageExit = 2;
    if (absl::GetFlag(FLAGS_entries) == 0 || absl::GetFlag(FLAGS_upstreams) == 0) {
        std::cerr << "--entries and --upstreams must be above 0\n";
        return usageExit;
    }
    if (absl::GetFlag(FLAGS_plan))
        return printPlans(first, seeds);
    const std::chrono::duration<double, std::ratio<60>> minutes(absl::GetFlag(FLAGS_minutes));
    const TimePoint start = steadyNow();
    std::uint64_t failed = 0;
    std::uint64_t seed = first;
    while (minutes.count() > 0 ? steadyNow() - start < minutes : seed < first + seeds) {
        const Outcome outcome = runSeed(seed++);
        failed += outcome == Outcome::Broken ? 1 : 0;
        if (outcome == Outcome::Interrupted)
            return interruptedExit;
    }
    std::cout << seed - first << " seeds, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
