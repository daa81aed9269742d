#include "soak/FaultPlan.h"

#include <algorithm>
#include <array>
#include <random>

namespace tamarack::soak {

namespace {

constexpr auto names = std::to_array<std::string_view>(
    {"entry_killed", "entry_paused", "entry_stopped", "entry_reloaded", "store_unavailable",
     "store_busy", "store_silent", "store_forgets", "store_link_refused", "store_link_silent",
     "store_link_one_way", "store_link_slow", "upstream_crashed", "upstream_silent",
     "upstream_slow", "upstream_reset", "upstream_misbehaves", "upstream_leaves", "key_changed"});

/// A run draws its faults from a few kinds, so that some runs leave the store, or the upstreams,
/// alone and the checks that need them apply.
constexpr std::size_t fewestKinds = 3;
constexpr std::size_t extraKinds = 5;
constexpr std::size_t fewestFaults = 4;
constexpr std::size_t extraFaults = 9;
constexpr milliseconds firstFault{300};
constexpr milliseconds shortestFault{100};
constexpr milliseconds longestFault{2500};
/// One fault in so many lasts longer than the platform's bounds allow a host to serve on.
constexpr std::size_t faultsPerLong = 4;
constexpr milliseconds shortestLong{4500};
constexpr milliseconds longestLong{7500};

} // namespace

std::string_view faultName(FaultKind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

std::string toString(const Fault &fault)
{
    return std::to_string(fault.at.count()) + " ms: " + std::string(faultName(fault.kind))
           + " target " + std::to_string(fault.target) + " variant " + std::to_string(fault.variant)
           + " for " + std::to_string(fault.lasts.count()) + " ms";
}

std::vector<Fault> drawFaults(std::uint64_t seed, milliseconds length)
{
    std::mt19937_64 random(seed);
    // Distributions of the standard library differ between its versions; a remainder does not.
    const auto below = [&random](std::size_t bound) { return random() % bound; };
    const auto between = [&below](milliseconds from, milliseconds to) {
        return from + milliseconds(below((to - from).count()));
    };
    std::vector<FaultKind> kinds(fewestKinds + below(extraKinds));
    for (FaultKind &kind : kinds)
        kind = static_cast<FaultKind>(below(names.size()));
    constexpr std::size_t manyTargets = 60;
    std::vector<Fault> faults(fewestFaults + below(extraFaults));
    for (Fault &fault : faults) {
        fault.kind = kinds[below(kinds.size())];
        fault.at = between(firstFault, length);
        const bool isLong = below(faultsPerLong) == 0;
        fault.lasts =
            isLong ? between(shortestLong, longestLong) : between(shortestFault, longestFault);
        fault.target = below(manyTargets);
        fault.variant = below(manyTargets);
    }
    std::ranges::sort(faults, {}, &Fault::at);
    return faults;
}

} // namespace tamarack::soak
