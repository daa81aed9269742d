#pragma once

#include "base/Time.h"
#include "serving/DecayingCount.h"
#include "serving/KindShares.h"
#include "serving/QueueRank.h"
#include "serving/QueuedRequest.h"
#include "serving/UpstreamChooser.h"
#include "serving/UpstreamTable.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

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
    /// It went before more urgent kinds, as its own lacked its due share.
    bool raised = false;
};

/// What a request is refused on.
struct RefusalFacts
{
    /// Its wait is over; otherwise it would not be reached in time.
    bool waitOver = false;
    /// Places left at the upstreams of its service, by the loads as last told.
    int freePlaces = 0;
    /// Those that it leaves to higher ranks.
    int kept = 0;
    /// Requests of its rank that wait before it at this entry.
    std::size_t ahead = 0;
    /// Recent starts of its rank at this entry.
    double startsPerSecond = 0;
};

/// A request that has waited as long as it may.
struct QueueRefusal
{
    Ticket ticket = 0;
    /// When room for it is expected.
    Duration retryAfter{};
    RefusalFacts facts;
};

struct QueueDecisions
{
    std::vector<Assignment> assignments;
    std::vector<QueueRefusal> refusals;
};

/// Requests of one service and rank at an entry.
struct QueueDemand
{
    std::string service;
    QueueRank rank = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;

    bool operator==(const QueueDemand &) const = default;
};

/// Requests of one entry that wait for a place at an upstream. Late binding: a request is sent
/// when an upstream can start it, the most important first.
///
/// Load: bursts of twice the capacity, of tiers unlike in worth and length. Of one rank, those
/// that can still be on time go first: in arrival order, all of them would be late. Within a tier,
/// kinds of requests go by the tier of their routes as long as each has its due share. A request
/// leaves free as many places as requests of higher ranks wait at other entries, and a part of
/// those that higher ranks hold: their next burst comes sooner than long requests end. What will
/// not be reached in time at the present rate of starts is refused at once, so that its client
/// can come back.
class DispatchQueue
{
public:
    DispatchQueue(UpstreamTable &upstreams, std::string dataCentre);

    void push(QueuedRequest request);
    /// False when the ticket does not wait.
    bool remove(Ticket ticket);
    /// An assigned request has ended.
    void ended(std::string_view service, QueueRank rank);

    /// Demand at the other entries, as last told.
    void setPeerDemand(const std::vector<QueueDemand> &demand);

    /// What starts and what is refused now. Assigned requests count as started.
    QueueDecisions decide(TimePoint now);

    std::vector<QueueDemand> demand() const;
    std::size_t size() const { return m_places.size(); }
    /// The earliest time at which a waiting request is refused; `TimePoint::max()`: none waits.
    TimePoint nextRefusal() const;

private:
    struct Place
    {
        QueueRank rank = 0;
        TimePoint arrived;
        Ticket ticket = 0;

        auto operator<=>(const Place &) const = default;
    };
    struct RankDemand
    {
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
    };
    struct Line
    {
        std::map<Place, QueuedRequest> waiting;
        /// Requests that were assigned and have not ended, by rank.
        std::map<QueueRank, std::uint32_t> running;
        std::map<QueueRank, DecayingCount> starts;
        KindShares shares;
        /// At the other entries, by rank.
        std::map<QueueRank, RankDemand> peers;
    };
    void decideService(const std::string &service, Line &line, TimePoint now,
                       QueueDecisions &decisions);
    /// A waiting request at its place in the order of starts.
    struct Candidate
    {
        const QueuedRequest *request = nullptr;
        /// Its own, or that of the kind which gives way to it, as its own lacks its due share.
        QueueRank startRank = 0;
    };
    /// Waiting requests in the order in which they may start.
    std::vector<Candidate> startOrder(const std::string &service, const Line &line,
                                      TimePoint now) const;
    /// Raises as many requests of each kind as it lacks starts, within their tiers.
    static void raiseDue(std::vector<Candidate> &order, const KindShares &shares, TimePoint now);
    void assign(const QueuedRequest &request, const UpstreamChoice &choice, TimePoint now,
                QueueDecisions &decisions);
    /// What holds for all waiting requests of one rank during a decision.
    struct RankView
    {
        /// Places that they leave free.
        int reserve = 0;
        double startsPerSecond = 0;
        /// Those of them that were looked at and go on to wait.
        std::size_t ahead = 0;
    };
    static RankView viewRank(QueueRank rank, const Line &line, TimePoint now);
    /// Whether a request will not be reached in time behind those of its rank.
    static bool isHopeless(const QueuedRequest &request, const RankView &view, TimePoint now);
    static QueueRefusal refuse(const QueuedRequest &request, const RankView &view, int freePlaces,
                               int kept, TimePoint now);
    /// Refuses what would wait beyond `opensAt`, before which no upstream takes a request.
    void refuseWhileClosed(const Line &line, TimePoint opensAt, TimePoint now,
                           QueueDecisions &decisions);
    /// Places that a request of the rank leaves free: for those that rank above it.
    static int reserve(QueueRank rank, const Line &line);
    static Duration retryAfter(const QueuedRequest &request, TimePoint now);

    UpstreamTable &m_upstreams;
    std::map<std::string, Line, std::less<>> m_lines;
    std::unordered_map<Ticket, std::pair<std::string, Place>> m_places;
    UpstreamChooser m_chooser;
};

} // namespace tamarack
