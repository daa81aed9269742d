#include "sched/WaitingQueue.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr int examinedCandidates = 8;

} // namespace

void WaitingQueue::push(WaitingRequest request)
{
    const QueueKey key{request.order, ++m_sequence, request.id};
    m_targets[request.target][request.tier][request.workspace].insert(key);
    m_byArrival[request.tier].emplace(key.sequence, request.id);
    const RequestId id = request.id;
    m_requests.emplace(id, Entry{std::move(request), key.sequence});
}

bool WaitingQueue::remove(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return false;
    const auto &[request, sequence] = found->second;
    auto &tiers = m_targets.find(request.target)->second;
    auto &workspaces = tiers.find(request.tier)->second;
    const auto queue = workspaces.find(request.workspace);
    queue->second.erase({request.order, sequence, id});
    if (queue->second.empty())
        workspaces.erase(queue);
    if (workspaces.empty())
        tiers.erase(request.tier);
    m_byArrival[request.tier].erase({sequence, id});
    m_requests.erase(found);
    return true;
}

std::optional<RequestId> WaitingQueue::bestIn(const WorkspaceQueue &queue,
                                              const Matcher &matcher) const
{
    std::optional<RequestId> suitable;
    int examined = 0;
    for (const QueueKey &key : queue) {
        const Match match = matcher(m_requests.find(key.id)->second.request);
        if (match == Match::Preferred)
            return key.id;
        if (match == Match::Suitable && !suitable)
            suitable = key.id;
        if (++examined == examinedCandidates)
            break;
    }
    return suitable;
}

std::optional<RequestId> WaitingQueue::bestInTier(const Workspaces &workspaces,
                                                  std::string_view granted,
                                                  const Matcher &matcher) const
{
    if (const auto queue = workspaces.find(granted); queue != workspaces.end()) {
        if (const auto id = bestIn(queue->second, matcher))
            return id;
    }
    std::vector<const WorkspaceQueue *> queues;
    for (const auto &[workspace, queue] : workspaces)
        queues.push_back(&queue);
    std::ranges::sort(queues, {}, [](const WorkspaceQueue *queue) { return *queue->begin(); });
    for (const WorkspaceQueue *queue : queues) {
        if (const auto id = bestIn(*queue, matcher))
            return id;
    }
    return std::nullopt;
}

std::optional<RequestId> WaitingQueue::best(std::string_view target, TierRank tier,
                                            std::string_view workspace,
                                            const Matcher &matcher) const
{
    const auto tiers = m_targets.find(target);
    if (tiers == m_targets.end())
        return std::nullopt;
    for (const auto &[rank, workspaces] : tiers->second) {
        const std::string_view granted = rank == tier ? workspace : std::string_view();
        if (const auto id = bestInTier(workspaces, granted, matcher))
            return id;
    }
    return std::nullopt;
}

std::optional<RequestId> WaitingQueue::newest(TierRank tier) const
{
    const auto found = m_byArrival.find(tier);
    if (found == m_byArrival.end() || found->second.empty())
        return std::nullopt;
    return found->second.rbegin()->second;
}

std::optional<RequestId> WaitingQueue::oldest(TierRank tier) const
{
    const auto found = m_byArrival.find(tier);
    if (found == m_byArrival.end() || found->second.empty())
        return std::nullopt;
    return found->second.begin()->second;
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
            for (const auto &[workspace, queue] : workspaces) {
                DemandRow row{target, tier, workspace, static_cast<std::uint32_t>(queue.size()), 0};
                for (const QueueKey &key : queue)
                    row.promptTokens += m_requests.find(key.id)->second.request.promptTokens;
                rows.push_back(std::move(row));
            }
        }
    }
    return rows;
}

} // namespace tamarack
