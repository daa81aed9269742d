#include "gate/DemandTable.h"

#include <algorithm>
#include <tuple>

namespace tamarack {

namespace {

/// Largest lag of a workspace's virtual time behind the highest one. It bounds the precedence that
/// an idle workspace can accumulate.
constexpr double maxVirtualTimeLag = 20'000;

bool sameKey(const DemandRow &a, const DemandRow &b)
{
    return a.tier == b.tier && a.target == b.target && a.workspace == b.workspace;
}

} // namespace

void DemandTable::addEntry(Incarnation entry, std::string dataCentre)
{
    m_entries[entry] = {std::move(dataCentre), {}};
}

void DemandTable::removeEntry(Incarnation entry)
{
    m_entries.erase(entry);
}

void DemandTable::replace(Incarnation entry, const Demand &demand)
{
    const auto found = m_entries.find(entry);
    if (found != m_entries.end())
        found->second.rows = demand.rows;
}

void DemandTable::markCredited(const Choice &choice)
{
    const auto found = m_entries.find(choice.entry);
    if (found == m_entries.end())
        return;
    for (DemandRow &row : found->second.rows) {
        if (!sameKey(row, choice.row) || row.count == 0)
            continue;
        row.promptTokens -= row.promptTokens / row.count;
        --row.count;
        return;
    }
}

double DemandTable::virtualTime(std::string_view workspace) const
{
    const auto found = m_virtualTime.find(workspace);
    return found == m_virtualTime.end() ? m_minVirtualTime
                                        : std::max(found->second, m_minVirtualTime);
}

std::optional<DemandTable::Choice> DemandTable::next(std::span<const std::string> targets) const
{
    using Key = std::tuple<TierRank, double, bool, std::int64_t>;
    std::optional<Choice> best;
    Key bestKey;
    for (const auto &[entry, demand] : m_entries) {
        const bool remote = demand.dataCentre != m_dataCentre;
        for (const DemandRow &row : demand.rows) {
            if (row.count == 0 || std::ranges::find(targets, row.target) == targets.end())
                continue;
            const Key key{row.tier, virtualTime(row.workspace), remote,
                          -static_cast<std::int64_t>(row.count)};
            if (best && key >= bestKey)
                continue;
            best = Choice{entry, row};
            bestKey = key;
        }
    }
    return best;
}

void DemandTable::charge(std::string_view workspace, double work)
{
    const auto weight = m_weights.find(workspace);
    const double share = work / (weight == m_weights.end() ? 1 : weight->second);
    const double time = virtualTime(workspace) + share;
    m_virtualTime.insert_or_assign(std::string(workspace), time);
    m_minVirtualTime = std::max(m_minVirtualTime, time - maxVirtualTimeLag);
}

void DemandTable::setWeight(std::string_view workspace, double weight)
{
    m_weights.insert_or_assign(std::string(workspace), weight);
}

} // namespace tamarack
