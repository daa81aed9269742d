#include "support/CoreHarness.h"

#include <chrono>
#include <ctime>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <spdlog/fmt/fmt.h>

ABSL_FLAG(int, seconds, 10, "virtual time measured for each size");
ABSL_FLAG(int, seed, 1, "seed of the runs");

namespace {

using namespace tamarack;
using namespace tamarack::harness;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

struct Size
{
    int entries = 0;
    int gates = 0;
    /// Requests a second over all entries.
    double rate = 0;
    /// Configuration changes a second.
    double changes = 0;
};

void load(CoreHarness &harness, const Size &size, int seconds)
{
    const int calls = static_cast<int>(size.rate * seconds);
    for (int i = 0; i < calls; ++i)
        harness.after(std::chrono::microseconds(static_cast<std::int64_t>(i * 1e6 / size.rate)),
                      [&harness, &size, i] {
                          harness.callModel(i % size.entries, static_cast<TierRank>(i % 4),
                                            fmt::format("ws{}", i % 20), fmt::format("call {}", i),
                                            60, 10);
                      });
    const int changes = static_cast<int>(size.changes * seconds);
    for (int i = 0; i < changes; ++i)
        harness.after(std::chrono::microseconds(static_cast<std::int64_t>(i * 1e6 / size.changes)),
                      [&harness, &size, i] {
                          harness.acceptConfig(defaultConfig(i % 2 == 0 ? "peak" : "ordinary"),
                                               i % size.entries);
                      });
}

void measure(const Size &size)
{
    const int seconds = absl::GetFlag(FLAGS_seconds);
    HarnessOptions options;
    options.entries = size.entries;
    options.engines = std::vector<int>(static_cast<std::size_t>(size.gates), 3);
    options.services = 0;
    options.seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
    options.checkAlways = false;
    CoreHarness harness(options);
    harness.run(std::chrono::seconds(2));
    const auto messages = harness.messages();
    const auto bytes = harness.messageBytes();
    load(harness, size, seconds);
    const double started = processorSeconds();
    harness.run(std::chrono::seconds(seconds));
    const double used = processorSeconds() - started;
    const int nodes = size.entries + size.gates;
    const double links = static_cast<double>(size.entries) * size.gates;
    const double sent = static_cast<double>(harness.messages() - messages) / seconds;
    const double control = static_cast<double>(harness.messageBytes() - bytes) / seconds;
    fmt::print("{:>7} {:>6} {:>7.0f} {:>8.1f} | {:>9.0f} {:>10.1f} {:>11.2f} {:>11.2f} {:>12.3f}\n",
               size.entries, size.gates, size.rate, size.changes, sent, sent / links,
               control / size.entries / 1024, control / links, 100 * used / seconds / nodes);
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    fmt::print("{:>7} {:>6} {:>7} {:>8} | {:>9} {:>10} {:>11} {:>11} {:>12}\n", "entries", "gates",
               "req/s", "change/s", "msg/s", "msg/s link", "KB/s entry", "B/s link", "% core/node");
    for (const Size &size : {Size{2, 4, 0, 0}, Size{4, 8, 0, 0}, Size{8, 16, 0, 0},
                             Size{16, 32, 0, 0}, Size{32, 32, 0, 0}, Size{64, 32, 0, 0}})
        measure(size);
    for (const double rate : {50.0, 100.0, 200.0, 400.0, 800.0})
        measure({8, 16, rate, 0});
    for (const double changes : {0.25, 0.5, 1.0, 2.0, 4.0})
        measure({8, 16, 0, changes});
    return 0;
}
