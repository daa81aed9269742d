#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::soak {

/// An object that another writer creates in a kind that entries list; it describes nothing.
struct ForeignObject
{
    std::string kind;
    std::string name;
    /// From the start of traffic; 0: before the entries start.
    milliseconds at{0};
};

/// What the store holds besides the run's own objects, and how it divides listings.
struct StorePlan
{
    std::size_t pageSize = 1;
    std::vector<ForeignObject> objects;
};

std::string toString(const StorePlan &plan);

/// Draws the plan of a run of that length, apart from its faults. The same seed gives the same
/// plan.
StorePlan drawStorePlan(std::uint64_t seed, milliseconds length);

} // namespace tamarack::soak
