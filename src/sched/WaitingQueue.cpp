#include "sched/WaitingQueue.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr int affinityCandidates = 8;

} // namespace

void WaitingQueue::push(WaitingRequest request)
{
    const Place place{request.order, ++m_sequence, request.id};
    m_targets[request.target][request.tier][request.workspace].insert(place);
    m_byArrival[request.tier].emplace(place.sequence, request.id);
    const RequestId id = request.id;
    m_requests.emplace(id, Entry{std::move(request), place.sequence});
}

bool WaitingQueue::remove(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return false;
    const auto &[request, sequence] = found->second;
    auto &tiers = m_targets.find(request.target)->second;
    auto &workspaces = tiers.find(request.tier)->second;
    const auto lane = workspaces.find(request.workspace);
    lane->second.erase({request.order, sequence, id});
    if (lane->second.empty())
        workspaces.erase(lane);
    if (workspaces.empty())
        tiers.erase(request.tier);
    m_byArrival[request.tier].erase({sequence, id});
    m_requests.erase(found);
    return true;
}

std::optional<RequestId>
WaitingQueue::bestIn(const Lane &lane, const std::function<bool(std::uint64_t)> &prefers) const
{
    if (lane.empty())
        return std::nullopt;
    int examined = 0;
    for (const Place &place : lane) {
        if (prefers(m_requests.find(place.id)->second.request.prefix))
            return place.id;
        if (++examined == affinityCandidates)
            break;
    }
    return lane.begin()->id;
}

std::optional<RequestId> WaitingQueue::best(std::string_view target, TierRank tier,
                                            std::string_view workspace,
                                            const std::function<bool(std::uint64_t)> &prefers) const
{
    const auto tiers = m_targets.find(target);
    if (tiers == m_targets.end() || tiers->second.empty())
        return std::nullopt;
    const auto &[highest, workspaces] = *tiers->second.begin();
    if (highest == tier) {
        const auto lane = workspaces.find(workspace);
        if (lane != workspaces.end())
            return bestIn(lane->second, prefers);
    }
    const auto first = std::ranges::min_element(
        workspaces, {}, [](const auto &row) { return *row.second.begin(); });
    return bestIn(first->second, prefers);
}

std::optional<RequestId> WaitingQueue::newest(TierRank tier) const
{
    const auto found = m_byArrival.find(tier);
    if (found == m_byArrival.end() || found->second.empty())
        return std::nullopt;
    return found->second.rbegin()->second;
}

std::vector<RequestId> WaitingQueue::ofTier(TierRank tier) const
{
    std::vector<RequestId> ids;
    if (const auto found = m_byArrival.find(tier); found != m_byArrival.end())
        std::ranges::transform(found->second, std::back_inserter(ids),
                               [](const auto &row) { return row.second; });
    return ids;
}

std::size_t WaitingQueue::size(TierRank tier) const
{
    const auto found = m_byArrival.find(tier);
    return found == m_byArrival.end() ? 0 : found->second.size();
}

std::vector<DemandRow> WaitingQueue::demand() const
{
    std::vector<DemandRow> rows;
    for (const auto &[target, tiers] : m_targets) {
        for (const auto &[tier, workspaces] : tiers) {
            for (const auto &[workspace, lane] : workspaces) {
                DemandRow row{target, tier, workspace, static_cast<std::uint32_t>(lane.size()), 0};
                for (const Place &place : lane)
                    row.promptTokens += m_requests.find(place.id)->second.request.promptTokens;
                rows.push_back(std::move(row));
            }
        }
    }
    return rows;
}

} // namespace tamarack
