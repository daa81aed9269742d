#pragma once

#include "base/Time.h"
#include "config/FleetConfig.h"
#include "sched/AffinityMap.h"
#include "serving/UpstreamTable.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// Names one wait of one request in the queue.
using Ticket = std::uint64_t;

/// What the queue needs to know of a waiting request.
struct QueuedRequest
{
    Ticket ticket = 0;
    std::string service;
    /// Tier of the workspace or route; decides who goes first and who is shed last.
    TierRank tier = 0;
    /// Tier of the route; orders requests of one tier.
    TierRank routeTier = 0;
    std::uint32_t promptTokens = 0;
    /// Identity of the prompt's last part, for the caches of engines; 0: none.
    std::uint64_t prefix = 0;
    /// When the client asked first; earlier attempts count.
    TimePoint arrived{};
    /// Until when the first token counts as on time.
    TimePoint objectiveAt{};
    /// It is refused when it still waits then.
    TimePoint refuseAt{};
    /// Upstreams at which it was tried before.
    std::vector<UpstreamKey> excluded;
};

/// A request that starts now.
struct Assignment
{
    Ticket ticket = 0;
    UpstreamPtr upstream;
    /// Prompt tokens at the upstream that are computed before its own.
    std::uint32_t backlogTokens = 0;
    /// Prompt tokens that the upstream probably has to compute.
    std::uint32_t freshTokens = 0;
    Duration predicted{};
};

/// A request that has waited as long as it may.
struct QueueRefusal
{
    Ticket ticket = 0;
    /// When room for it is expected.
    Duration retryAfter{};
};

struct QueueDecisions
{
    std::vector<Assignment> assignments;
    std::vector<QueueRefusal> refusals;
};

/// Requests of one service and tier that wait at an entry.
struct QueueDemand
{
    std::string service;
    TierRank tier = 0;
    std::uint32_t count = 0;

    bool operator==(const QueueDemand &) const = default;
};

/// Requests of one entry that wait for a place at an upstream. Late binding: a request is sent
/// when an upstream can start it, the most important first.
///
/// Load: bursts of twice the capacity, of tiers unlike in worth and length. Long requests of low
/// tiers may not take the last free places, which turn over slowly; a lower tier does not start
/// while more requests of higher tiers wait at other entries than places are free.
class DispatchQueue
{
public:
    DispatchQueue(UpstreamTable &upstreams, std::string dataCentre);

    void push(QueuedRequest request);
    /// False when the ticket does not wait.
    bool remove(Ticket ticket);

    /// Demand at the other entries, as last told.
    void setPeerDemand(std::vector<QueueDemand> demand) { m_peerDemand = std::move(demand); }

    /// What starts and what is refused now. Assigned requests count as started.
    QueueDecisions decide(TimePoint now);

    std::vector<QueueDemand> demand() const;
    std::size_t size() const { return m_places.size(); }
    /// The earliest time at which a waiting request is refused; `TimePoint::max()`: none waits.
    TimePoint nextRefusal() const;

private:
    struct Place
    {
        TierRank tier = 0;
        TierRank routeTier = 0;
        TimePoint arrived;
        Ticket ticket = 0;

        auto operator<=>(const Place &) const = default;
    };
    using Line = std::map<Place, QueuedRequest>;
    struct Choice
    {
        UpstreamPtr upstream;
        std::uint32_t freshTokens = 0;
        Duration predicted{};
        double costMs = 0;
    };

    void decideService(const std::string &service, Line &line, TimePoint now,
                       QueueDecisions &decisions);
    /// Whether a request of the tier may start while `free` places are free.
    bool mayStart(const std::string &service, const Place &place, int free, int places,
                  const Line &line) const;
    std::uint32_t peersWaitingAbove(const std::string &service, TierRank tier) const;
    Choice choose(const QueuedRequest &request, TimePoint now) const;
    Choice evaluate(const QueuedRequest &request, const UpstreamPtr &upstream, UpstreamKey home) const;
    static UpstreamKey homeOf(std::uint64_t prefix, const std::vector<UpstreamPtr> &upstreams);
    Duration retryAfter(const QueuedRequest &request, TimePoint now) const;

    UpstreamTable &m_upstreams;
    std::string m_dataCentre;
    std::map<std::string, Line, std::less<>> m_lines;
    std::unordered_map<Ticket, std::pair<std::string, Place>> m_places;
    std::vector<QueueDemand> m_peerDemand;
    AffinityMap m_affinity;
};

} // namespace tamarack
