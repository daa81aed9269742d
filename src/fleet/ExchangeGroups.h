#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// When the entries are divided into exchange groups, and into groups of which size.
struct GroupBounds
{
    /// Fleets of up to this many entries are one group; 0: never divided.
    std::size_t undividedEntries = 32;
    std::size_t entriesPerGroup = 30;
};

/// Something that is divided among groups.
struct GroupItem
{
    /// Items of one data centre are spread evenly over the groups; may be empty.
    std::string_view dataCentre;
    std::uint64_t hash = 0;
};

/// Returns the group of each item, in the order of the items. Sizes of groups differ by at most
/// one. An item that joins or leaves moves only items at the borders between groups.
std::vector<std::size_t> divideEvenly(std::span<const GroupItem> items, std::size_t groups);

/// Fewest upstreams of a service per group; a service with fewer is used by all groups.
constexpr std::size_t leastUpstreamsPerGroup = 3;

/// The exchange group of this entry.
///
/// Answers fleets of some hundred entries: if each tells all others its load, either the bytes grow
/// with the square of their number or the loads are too old to choose an upstream by. Each entry
/// computes the division locally from the listed entries. Entries whose lists differ for a moment
/// may disagree about entries at the borders of groups; these then hear less of each other until
/// the lists agree, which costs placement only.
class ExchangeGroups
{
public:
    ExchangeGroups(std::string ownName, GroupBounds bounds);

    /// Divides the listed entries and this one.
    void assignEntries(const std::set<std::string> &names);

    /// Number of groups; 1 if the fleet is not divided.
    std::size_t count() const { return m_count; }
    std::size_t ownGroup() const { return m_ownGroup; }
    /// Position of this entry in its group.
    std::size_t ownPosition() const { return m_ownPosition; }
    /// Entries of this group, including this one.
    std::size_t size() const { return m_members.size(); }
    bool isMember(const std::string &name) const
    {
        return m_count == 1 || m_members.contains(name);
    }

private:
    std::string m_ownName;
    GroupBounds m_bounds;
    std::size_t m_count = 1;
    std::size_t m_ownGroup = 0;
    std::size_t m_ownPosition = 0;
    std::set<std::string> m_members;
};

} // namespace tamarack
