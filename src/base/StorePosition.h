#pragma once

#include <compare>
#include <cstdint>

namespace tamarack {

/// Position in the change history of the platform's store. A store that is restored from an older
/// copy begins a new era, in which it assigns revisions of the former era again.
struct StorePosition
{
    /// Increases with each restore; 0 if the store does not state its era.
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    bool operator==(const StorePosition &) const = default;
    /// Positions of different eras are unordered: none of them contains the other's changes.
    std::partial_ordering operator<=>(const StorePosition &other) const
    {
        if (era != other.era)
            return std::partial_ordering::unordered;
        return revision <=> other.revision;
    }
};

/// Whether the store has been restored between the two positions.
constexpr bool isOfLaterEra(const StorePosition &position, const StorePosition &than)
{
    return position.era > than.era;
}

/// The position that the store reached last.
constexpr StorePosition latest(const StorePosition &a, const StorePosition &b)
{
    if (a.era != b.era)
        return a.era > b.era ? a : b;
    return a.revision > b.revision ? a : b;
}

} // namespace tamarack
