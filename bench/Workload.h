#pragma once

#include "base/Time.h"
#include "config/FleetConfig.h"
#include "tamarackseam/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::bench {

struct WorkloadClass
{
    std::string name;
    TierRank tier = 0;
    double share = 0;
    double promptTokens = 0;
    double outputTokens = 0;
    /// Standard deviation of the logarithm of the lengths.
    double spread = 0;
    int prefixes = 0;
};

struct WorkloadWorkspace
{
    std::string name;
    double share = 0;
};

/// A mix of requests and the fleet that serves it, read from a data file.
struct Workload
{
    std::string name;
    std::vector<int> engines;
    int entries = 0;
    std::vector<WorkloadWorkspace> workspaces;
    std::vector<WorkloadClass> classes;
};

/// One request of a workload, before any policy has seen it.
struct Arrival
{
    Duration at{};
    int entry = 0;
    TierRank tier = 0;
    std::string workspace;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint64_t prefix = 0;
    std::uint32_t prefixTokens = 0;
};

/// A stretch of time with its own rate.
struct LoadPhase
{
    Duration length{};
    double requestsPerSecond = 0;
};

Result<Workload> loadWorkload(const std::string &path);

/// The same arrivals for the same seed, whatever the policy.
std::vector<Arrival> makeArrivals(const Workload &workload, const std::vector<LoadPhase> &phases,
                                  std::uint64_t seed);

/// Requests a second that the engines can serve of this mix while at most one token in twenty
/// comes later than the target: the sum over the engines of the best rate found with each number
/// of requests kept running, alone on the engine, without any queue or network.
double capacityOf(const Workload &workload, Duration betweenTokensTarget, std::uint64_t seed);

} // namespace tamarack::bench
