#include "fleet/ExchangeGroups.h"

#include "base/Hash.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

namespace tamarack {

std::vector<std::size_t> divideEvenly(std::span<const GroupItem> items, std::size_t groups)
{
    std::map<std::string_view, std::vector<std::pair<std::uint64_t, std::size_t>>> byDataCentre;
    for (std::size_t i = 0; i < items.size(); ++i)
        byDataCentre[items[i].dataCentre].emplace_back(items[i].hash, i);
    // Each data centre's items lie at equal distances in [0, 1), so that any range of the whole
    // order holds a proportional part of each data centre.
    std::vector<std::tuple<double, std::uint64_t, std::size_t>> order;
    order.reserve(items.size());
    for (auto &[dataCentre, members] : byDataCentre) {
        std::ranges::sort(members);
        for (std::size_t rank = 0; rank < members.size(); ++rank) {
            const double position =
                (static_cast<double>(rank) + 0.5) / static_cast<double>(members.size());
            order.emplace_back(position, members[rank].first, members[rank].second);
        }
    }
    std::ranges::sort(order);
    std::vector<std::size_t> groupOf(items.size());
    for (std::size_t rank = 0; rank < order.size(); ++rank)
        groupOf[std::get<2>(order[rank])] = rank * groups / order.size();
    return groupOf;
}

ExchangeGroups::ExchangeGroups(std::string ownName, GroupBounds bounds)
    : m_ownName(std::move(ownName))
    , m_bounds(bounds)
{}

void ExchangeGroups::assignEntries(const std::set<std::string> &names)
{
    std::set<std::string> all = names;
    all.insert(m_ownName);
    const bool divided = m_bounds.undividedEntries > 0 && all.size() > m_bounds.undividedEntries;
    const std::size_t nearest =
        (all.size() + m_bounds.entriesPerGroup / 2) / m_bounds.entriesPerGroup;
    m_count = divided ? std::max<std::size_t>(2, nearest) : 1;
    std::vector<GroupItem> items;
    items.reserve(all.size());
    for (const std::string &name : all)
        items.push_back({{}, mixBits(fnv1a(name), 0)});
    const std::vector<std::size_t> groupOf = divideEvenly(items, m_count);
    m_ownGroup = groupOf[static_cast<std::size_t>(std::distance(all.begin(), all.find(m_ownName)))];
    m_members.clear();
    auto group = groupOf.begin();
    for (const std::string &name : all)
        if (*group++ == m_ownGroup)
            m_members.insert(name);
    m_ownPosition =
        static_cast<std::size_t>(std::distance(m_members.begin(), m_members.find(m_ownName)));
}

} // namespace tamarack
