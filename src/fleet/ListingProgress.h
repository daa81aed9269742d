#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace tamarack {

/// Decides after which name the next page of a listing starts, and whether the listing is whole.
///
/// Objects may have any name, and the name of some may be unreadable. A listing goes on only from
/// names that it has not gone on from before, so that it ends whatever the store makes of them.
class ListingProgress
{
public:
    enum class State : std::uint8_t {
        /// Read the page after `after()`.
        Unfinished,
        /// All objects have been listed.
        Whole,
        /// There are more objects, but no name after which to read them.
        Stuck
    };

    /// Records a page with these names, in the order listed, that more pages follow or not.
    State handlePage(std::vector<std::string> names, bool more);
    /// The store refuses to list what follows `after()`.
    State handleRefusal();

    /// None before the first page.
    const std::optional<std::string> &after() const { return m_after; }

    /// Names that are tried instead of one that the store refuses.
    static constexpr int maxAlternatives = 3;
    /// Longest name from which a listing goes on if the store has refused another.
    static constexpr std::size_t plainNameBytes = 256;

private:
    State goOnFrom(std::string name);

    std::optional<std::string> m_after;
    /// Names of the last page before the one that was tried last.
    std::vector<std::string> m_alternatives;
    /// How many of them have been tried.
    int m_refusals = 0;
    std::unordered_set<std::string> m_used;
};

} // namespace tamarack
