#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace tamarack {

/// Objects of the store that describe nothing usable, so that each is logged once per revision.
///
/// Other software may write any number of them, under names of any length.
class IgnoredObjects
{
public:
    /// Returns whether this revision of the object is new; false also for objects beyond the limit.
    bool add(std::string_view name, std::uint64_t revision);
    void remove(std::string_view name);
    void clear() { m_rows.clear(); }

    void beginListing() { ++m_listing; }
    /// Forgets the objects that were not added since `beginListing`.
    void endListing();

    std::size_t size() const { return m_rows.size(); }

    static constexpr std::size_t maxObjects = 4096;

private:
    struct Row
    {
        std::uint64_t revision = 0;
        /// The listing in which it was added last.
        std::uint64_t listing = 0;
    };

    /// By the hash of the name.
    std::unordered_map<std::uint64_t, Row> m_rows;
    std::uint64_t m_listing = 0;
};

} // namespace tamarack
