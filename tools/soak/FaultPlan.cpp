#include "soak/FaultPlan.h"

#include "soak/Draw.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace tamarack::soak {

namespace {

constexpr auto names =
    std::to_array<std::string_view>({"entry_killed",        "entry_paused",
                                     "entry_stopped",       "entry_reloaded",
                                     "store_unavailable",   "store_busy",
                                     "store_silent",        "store_forgets",
                                     "store_link_refused",  "store_link_silent",
                                     "store_link_one_way",  "store_link_slow",
                                     "upstream_crashed",    "upstream_silent",
                                     "upstream_slow",       "upstream_reset",
                                     "upstream_misbehaves", "upstream_leaves",
                                     "key_changed",         "upstream_limits",
                                     "upstream_closes",     "upstream_says_it_leaves"});

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
constexpr std::size_t manyTargets = 60;
/// What upstreams say of themselves, at most so often a run.
constexpr std::size_t mostStatements = 3;
constexpr std::uint64_t statementsSeed = 0x5eed5eed;

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

namespace {

Fault drawFault(Draw &draw, FaultKind kind, milliseconds length)
{
    Fault fault;
    fault.kind = kind;
    fault.at = draw.between(firstFault, length);
    const bool isLong = draw.below(faultsPerLong) == 0;
    fault.lasts = isLong ? draw.between(shortestLong, longestLong)
                         : draw.between(shortestFault, longestFault);
    fault.target = draw.below(manyTargets);
    fault.variant = draw.below(manyTargets);
    return fault;
}

/// Drawn apart: the other faults of a seed stay what they were.
std::vector<Fault> drawStatements(std::uint64_t seed, milliseconds length)
{
    Draw draw(seed ^ statementsSeed);
    std::vector<Fault> faults(draw.below(mostStatements + 1));
    for (Fault &fault : faults) {
        const auto first = static_cast<std::size_t>(FaultKind::UpstreamLimits);
        const auto kind = static_cast<FaultKind>(first + draw.below(names.size() - first));
        fault = drawFault(draw, kind, length);
    }
    return faults;
}

} // namespace

std::vector<Fault> drawFaults(std::uint64_t seed, milliseconds length)
{
    Draw draw(seed);
    constexpr auto fromOutside = static_cast<std::size_t>(FaultKind::UpstreamLimits);
    std::vector<FaultKind> kinds(fewestKinds + draw.below(extraKinds));
    for (FaultKind &kind : kinds)
        kind = static_cast<FaultKind>(draw.below(fromOutside));
    std::vector<Fault> faults(fewestFaults + draw.below(extraFaults));
    for (Fault &fault : faults)
        fault = drawFault(draw, kinds[draw.below(kinds.size())], length);
    std::ranges::move(drawStatements(seed, length), std::back_inserter(faults));
    std::ranges::stable_sort(faults, {}, &Fault::at);
    return faults;
}

} // namespace tamarack::soak
