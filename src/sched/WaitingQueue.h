#pragma once

#include "base/RequestId.h"
#include "base/Time.h"
#include "peer/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// The attributes of a queued request that determine its order and matching.
struct WaitingRequest
{
    RequestId id;
    std::string target;
    TierRank tier = 0;
    std::string workspace;
    /// Requests of one tier are served in ascending order of this time.
    TimePoint order{};
    std::uint32_t promptTokens = 0;
    /// Hash of the prompt prefix, for prefix affinity.
    std::uint64_t prefix = 0;
};

/// Requests of one entry that are queued for a credit, indexed by target, tier and workspace.
class WaitingQueue
{
public:
    void push(WaitingRequest request);
    /// Returns false when the request is not queued.
    bool remove(RequestId id);
    bool contains(RequestId id) const { return m_requests.contains(id); }

    /// How well a credit matches a queued request.
    enum class Match : std::uint8_t { Unsuitable, Suitable, Preferred };
    using Matcher = std::function<Match(const WaitingRequest &)>;

    /// Selects the request that a credit for `target` should serve. Takes the highest tier that has
    /// a suitable request; within it the workspace for which the credit was granted (if it is of
    /// this tier), then the other workspaces in queue order. Among the first few requests of a
    /// workspace, a preferred one takes precedence over suitable ones.
    std::optional<RequestId> best(std::string_view target, TierRank tier,
                                  std::string_view workspace, const Matcher &matcher) const;

    /// Returns the request of `tier` that was queued last, or std::nullopt when none is queued.
    std::optional<RequestId> newest(TierRank tier) const;

    /// Returns the request of `tier` that was queued first, or std::nullopt when none is queued.
    std::optional<RequestId> oldest(TierRank tier) const;

    std::vector<RequestId> ofTier(TierRank tier) const;
    std::size_t size() const { return m_requests.size(); }
    std::size_t size(TierRank tier) const;
    std::vector<DemandRow> demand() const;

private:
    struct QueueKey
    {
        TimePoint order;
        std::uint64_t sequence = 0;
        RequestId id;

        auto operator<=>(const QueueKey &) const = default;
    };
    struct Entry
    {
        WaitingRequest request;
        std::uint64_t sequence = 0;
    };
    using WorkspaceQueue = std::set<QueueKey>;
    using Workspaces = std::map<std::string, WorkspaceQueue, std::less<>>;
    using Tiers = std::map<TierRank, Workspaces>;

    std::optional<RequestId> bestIn(const WorkspaceQueue &queue, const Matcher &matcher) const;
    std::optional<RequestId> bestInTier(const Workspaces &workspaces, std::string_view granted,
                                        const Matcher &matcher) const;

    std::uint64_t m_sequence = 0;
    std::unordered_map<RequestId, Entry> m_requests;
    std::map<std::string, Tiers, std::less<>> m_targets;
    std::map<TierRank, std::set<std::pair<std::uint64_t, RequestId>>> m_byArrival;
};

} // namespace tamarack
