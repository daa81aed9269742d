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

/// What the queue needs to know of a waiting request.
struct WaitingRequest
{
    RequestId id;
    std::string target;
    TierRank tier = 0;
    std::string workspace;
    /// Requests of one tier leave in this order.
    TimePoint order{};
    std::uint32_t promptTokens = 0;
    /// Hash of the start of the prompt, for prefix affinity.
    std::uint64_t prefix = 0;
};

/// Requests of one entry that wait for a credit, by target, tier and workspace.
class WaitingQueue
{
public:
    void push(WaitingRequest request);
    /// False when the request does not wait.
    bool remove(RequestId id);
    bool contains(RequestId id) const { return m_requests.contains(id); }

    /// How well a credit suits a waiting request.
    enum class Match : std::uint8_t { Unsuited, Suited, Preferred };
    using Matcher = std::function<Match(const WaitingRequest &)>;

    /// The request that a credit for `target` should serve: the highest tier with a suited
    /// request, in it the workspace the credit was granted for, then queue order. A preferred
    /// request among the first few goes before suited ones.
    std::optional<RequestId> best(std::string_view target, TierRank tier,
                                  std::string_view workspace, const Matcher &matcher) const;

    /// The request of `tier` that was queued last; empty when none waits.
    std::optional<RequestId> newest(TierRank tier) const;

    /// The request of `tier` that was queued first; empty when none waits.
    std::optional<RequestId> oldest(TierRank tier) const;

    std::vector<RequestId> ofTier(TierRank tier) const;
    std::size_t size() const { return m_requests.size(); }
    std::size_t size(TierRank tier) const;
    std::vector<DemandRow> demand() const;

private:
    struct Place
    {
        TimePoint order;
        std::uint64_t sequence = 0;
        RequestId id;

        auto operator<=>(const Place &) const = default;
    };
    struct Entry
    {
        WaitingRequest request;
        std::uint64_t sequence = 0;
    };
    using Lane = std::set<Place>;
    using Workspaces = std::map<std::string, Lane, std::less<>>;
    using Tiers = std::map<TierRank, Workspaces>;

    std::optional<RequestId> bestIn(const Lane &lane, const Matcher &matcher) const;
    std::optional<RequestId> bestInTier(const Workspaces &workspaces, std::string_view granted,
                                        const Matcher &matcher) const;

    std::uint64_t m_sequence = 0;
    std::unordered_map<RequestId, Entry> m_requests;
    std::map<std::string, Tiers, std::less<>> m_targets;
    std::map<TierRank, std::set<std::pair<std::uint64_t, RequestId>>> m_byArrival;
};

} // namespace tamarack
