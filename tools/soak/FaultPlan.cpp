#include "soak/FaultPlan.h"

#include <algorithm>
#include <array>
#include <random>

namespace tamarack::soak {

namespace {

constexpr std::array names{
    std::string_view("entry_killed"),        std::string_view("entry_paused"),
    std::string_view("entry_stopped"),       std::string_view("entry_reloaded"),
    std::string_view("store_unavailable"),   std::string_view("store_busy"),
    std::string_view("store_silent"),        std::string_view("store_forgets"),
    std::string_view("store_link_refused"),  std::string_view("store_link_silent"),
    std::string_view("store_link_one_way"),  std::string_view("store_link_slow"),
    std::string_view("upstream_crashed"),    std::string_view("upstream_silent"),
    std::string_view("upstream_slow"),       std::string_view("upstream_reset"),
    std::string_view("upstream_misbehaves"), std::string_view("upstream_leaves"),
    std::string_view("key_changed")};

constexpr std::size_t fewestFaults = 3;
constexpr std::size_t extraFaults = 8;
constexpr milliseconds firstFault{300};
constexpr milliseconds shortestFault{100};
constexpr milliseconds longestFault{2500};

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
    constexpr std::size_t manyTargets = 60;
    std::vector<Fault> faults(fewestFaults + below(extraFaults));
    for (Fault &fault : faults) {
        fault.kind = static_cast<FaultKind>(below(names.size()));
        fault.at = firstFault + milliseconds(below((length - firstFault).count()));
        fault.lasts = shortestFault + milliseconds(below((longestFault - shortestFault).count()));
        fault.target = below(manyTargets);
        fault.variant = below(manyTargets);
    }
    std::ranges::sort(faults, {}, &Fault::at);
    return faults;
}

} // namespace tamarack::soak
