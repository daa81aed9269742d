#pragma once

#include "soak/FaultPlan.h"
#include "soak/StorePlan.h"

#include <cstddef>
#include <filesystem>
#include <string>
#include <vector>

namespace tamarack::soak {

struct SoakOptions
{
    /// The daemon's program.
    std::filesystem::path daemon;
    /// Settings and logs of the entries are written here.
    std::filesystem::path directory;
    milliseconds length{10000};
    std::size_t entries = 3;
    std::size_t upstreams = 4;
    std::size_t clients = 24;
};

struct SoakReport
{
    std::vector<Fault> faults;
    StorePlan store;
    std::size_t calls = 0;
    std::size_t served = 0;
    /// Streams that clients resumed, and those of them that went on.
    std::size_t resumed = 0;
    std::size_t wentOn = 0;
    std::vector<std::string> violations;
    /// A signal ended the run before its time.
    bool interrupted = false;
};

/// Runs entries as real processes between stand-ins of the store and of upstreams, under the faults
/// and the calls that follow from the seed, and checks the promises while it runs.
SoakReport runSoak(std::uint64_t seed, const SoakOptions &options);

} // namespace tamarack::soak
