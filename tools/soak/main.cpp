#include "base/Log.h"
#include "process/Timers.h"
#include "soak/SoakRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, daemon, "build/tamarackseamd", "program of the daemon");
ABSL_FLAG(std::string, logs, "build/soak-logs", "directory of settings and logs, one folder a seed");
ABSL_FLAG(std::uint64_t, first, 1, "first seed");
ABSL_FLAG(std::uint64_t, seeds, 1, "number of seeds, one after the other");
ABSL_FLAG(double, minutes, 0, "go on with further seeds for so long; 0: run --seeds seeds");
ABSL_FLAG(int, length_ms, 8000, "time under faults of one seed, in milliseconds");

namespace {

using namespace tamarack;
using namespace tamarack::soak;

/// False when a promise was broken. The logs of a good run are removed.
bool runSeed(std::uint64_t seed)
{
    SoakOptions options;
    options.daemon = absl::GetFlag(FLAGS_daemon);
    options.directory = std::filesystem::path(absl::GetFlag(FLAGS_logs)) / std::to_string(seed);
    options.length = milliseconds(absl::GetFlag(FLAGS_length_ms));
    std::filesystem::remove_all(options.directory);
    const SoakReport report = runSoak(seed, options);
    std::cout << "seed " << seed << ": " << report.faults.size() << " faults, " << report.calls
              << " calls, " << report.served << " served, " << report.violations.size()
              << " promises broken" << std::endl;
    if (report.violations.empty()) {
        std::filesystem::remove_all(options.directory);
        return true;
    }
    for (const Fault &fault : report.faults)
        std::cout << "  fault " << toString(fault) << '\n';
    for (const std::string &violation : report.violations)
        std::cout << "  broken: " << violation << '\n';
    std::cout << "  logs: " << options.directory.string() << std::endl;
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Plays faults against real entries and checks their promises.");
    absl::ParseCommandLine(argc, argv);
    setLogLevel("off");
    const std::uint64_t first = absl::GetFlag(FLAGS_first);
    const std::uint64_t seeds = absl::GetFlag(FLAGS_seeds);
    const std::chrono::duration<double, std::ratio<60>> minutes(absl::GetFlag(FLAGS_minutes));
    const TimePoint start = steadyNow();
    std::uint64_t failed = 0;
    std::uint64_t seed = first;
    while (minutes.count() > 0 ? steadyNow() - start < minutes : seed < first + seeds)
        failed += runSeed(seed++) ? 0 : 1;
    std::cout << seed - first << " seeds, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
