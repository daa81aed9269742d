#pragma once

#include "Workload.h"
#include "support/CoreHarness.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tamarack::bench {

constexpr std::size_t tierCount = 4;

/// How one experiment decides. Only `Tamarack` is the product; the others are baselines.
enum class Policy : std::uint8_t {
    Tamarack,
    /// Each engine in turn, at once.
    RoundRobin,
    /// The engine whose load report is lowest; reports are two seconds old.
    LeastReported,
    /// The lower of two random engines by the same reports.
    TwoChoices,
    /// The product's queue without tiers, in order of arrival.
    FirstComeFirstServed,
};

std::string policyName(Policy policy);

/// What happens to engines during a run; times count from its start.
struct EngineEvent
{
    enum class Kind : std::uint8_t { Slow, Crash, Leave };

    Duration at{};
    int engine = 0;
    Kind kind = Kind::Slow;
};

struct RunSpec
{
    Workload workload;
    std::vector<Arrival> arrivals;
    /// Arrivals in this window count.
    Duration measureFrom{};
    Duration measureUntil{};
    std::vector<EngineEvent> events;
    Policy policy = Policy::Tamarack;
    std::uint64_t seed = 1;
    std::function<void(harness::HarnessOptions &)> adjust;
};

/// What became of one arrival.
struct Served
{
    bool whole = false;
    std::string refusal;
    Duration firstToken{};
    Duration meanGap{};
};

struct TierReport
{
    std::uint64_t offered = 0;
    std::uint64_t whole = 0;
    std::uint64_t good = 0;
    std::vector<double> firstTokenMs;
};

struct RunReport
{
    std::array<TierReport, tierCount> tiers;
    std::map<std::string, std::uint64_t> refusals;
    /// Goodput of each workspace as a share of what it offered.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> workspaces;
    std::vector<std::uint64_t> engineTokens;
    std::uint64_t prefillTokens = 0;
    std::uint64_t wastedTokens = 0;
    std::vector<std::uint64_t> gapsTopTier;
    double seconds = 0;
    /// Goodput a second over all tiers.
    double goodput() const;
    std::size_t violations = 0;
};

double percentile(std::vector<double> values, double share);
double percentileOfBins(const std::vector<std::uint64_t> &bins, double share);

/// Whether an answer counts: whole, first token and mean time between tokens within target.
bool isGood(const Served &served, TierRank tier);

/// First-token target of a tier.
Duration firstTokenTarget(TierRank tier);

RunReport runExperiment(const RunSpec &spec);

/// The configuration of the experiments.
std::string experimentConfig(const Workload &workload);

} // namespace tamarack::bench
