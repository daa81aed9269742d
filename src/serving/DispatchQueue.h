#pragma once

#include "base/Time.h"
#include "serving/DecayingCount.h"
#include "serving/FleetRoom.h"
#include "serving/KindShares.h"
#include "serving/QueueRank.h"
#include "serving/QueuedRequest.h"
#include "serving/ReturnBook.h"
#include "serving/SchedulingOptions.h"
#include "serving/UpstreamChooser.h"
#include "serving/UpstreamTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// A request that a decision sends to an upstream.
struct Assignment
{
    Ticket ticket = 0;
    UpstreamPtr upstream;
    /// Prompt tokens of other requests that the upstream has to process first.
    std::uint32_t backlogTokens = 0;
    /// Prompt tokens of this request that are probably not in the prefix cache of the upstream.
    std::uint32_t freshTokens = 0;
    /// Predicted time to the first token.
    Duration predicted{};
    /// Started ahead of more urgent kinds because its own kind was below its guaranteed share.
    bool promoted = false;
    /// Started ahead of new requests of its rank, as its client keeps an appointment.
    bool keptReturn = false;
};

/// Queue state that led to a refusal, for the log.
struct RefusalDetails
{
    /// The maximum wait has elapsed. If false, the request was not expected to start in time.
    bool waitExpired = false;
    /// Free capacity at the upstreams of its service, by the last reported loads.
    int freePlaces = 0;
    /// Part of the free capacity that is reserved for higher ranks.
    int reserved = 0;
    /// Requests of the same rank that are queued ahead of it at this entry.
    std::size_t ahead = 0;
    /// Recent start rate of its rank at this entry, or the one that the rank can expect of all.
    double startsPerSecond = 0;
    /// Requests that were expected to start before it, over all entries. 0 without a fleet view.
    double fleetAhead = 0;
    /// Time since the demand of the other entries was last reported; none if it never was.
    std::optional<Duration> viewAge;
    /// When the client should return, and how many others are expected then; none without
    /// appointments.
    std::optional<ReturnBook::Appointment> appointment;
};

/// A request that is refused because it has waited too long or would have to.
struct QueueRefusal
{
    Ticket ticket = 0;
    /// Delay after which the client should retry.
    Duration retryAfter{};
    RefusalDetails details;
};

struct QueueDecisions
{
    std::vector<Assignment> assignments;
    std::vector<QueueRefusal> refusals;
};

/// Number of requests of one service and rank at an entry.
struct QueueDemand
{
    std::string service;
    QueueRank rank = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    /// The part of `waiting` that can no longer meet its objective.
    std::uint32_t late = 0;
    /// The part of `waiting` that waits for a suitable upstream rather than for any place.
    std::uint32_t selective = 0;
    /// Recent rates at the entry; 0 unless it judges by a view of the fleet.
    double arrivalsPerSecond = 0;
    double startsPerSecond = 0;

    bool operator==(const QueueDemand &) const = default;
};

/// Whether the numbers of requests are equal; rates change all the time.
bool sameNumbers(const std::vector<QueueDemand> &a, const std::vector<QueueDemand> &b);

/// Queue of the requests of one entry that wait for capacity at an upstream. Requests are bound to
/// an upstream late, when one can start them, in order of rank.
///
/// Designed for bursts of twice the capacity, with tiers that differ in value and request length.
/// Within a rank, requests that can still meet their objective go first; in arrival order all of
/// them would be late under overload. Among these, requests that need less engine time go first:
/// response lengths differ by a factor of 100, and the longest tenth needs half of the engine time.
/// Within a tier, kinds of requests are ordered by the tier of
/// their routes as long as each kind gets its guaranteed share. A request may only use capacity
/// beyond a reserve for higher ranks: one slot for each of their requests queued at other entries,
/// and a fraction of the slots they occupy, since their next burst arrives sooner than long
/// requests end. A request that would not start in time at the current start rate is refused at
/// once, so that its client has time to retry.
class DispatchQueue
{
public:
    DispatchQueue(UpstreamTable &upstreams, std::string dataCentre, SchedulingOptions options = {});

    void push(QueuedRequest request);
    /// Returns false if the ticket is not queued.
    bool remove(Ticket ticket);
    /// Assigns a request that is not queued to the upstream that it would get now, but to none that
    /// limits itself; none if no place is free.
    std::optional<Assignment> assignAtOnce(const QueuedRequest &request, TimePoint now);
    /// Records that an assigned request has ended.
    void ended(std::string_view service, QueueRank rank);

    /// Replaces the versions that queued requests of the service must not use. Those that go on
    /// with a stream stay bound to its version; those bound to some upstreams may use all others
    /// again.
    void withholdVersions(std::string_view service, const std::set<std::string> &versions);
    /// Replaces the demand that the other entries reported last.
    void setPeerDemand(const std::vector<QueueDemand> &demand,
                       std::optional<TimePoint> toldAt = std::nullopt);

    /// Replaces the appointments that the other entries reported last, with the time of receipt.
    void setPeerReturns(std::span<const std::pair<ReturnSlots, TimePoint>> rows)
    {
        m_returns.setPeers(rows);
    }
    std::vector<ReturnSlots> returnSlots(TimePoint now) const { return m_returns.rows(now); }

    /// Decides which requests start and which are refused now. Assigned requests count as started.
    QueueDecisions decide(TimePoint now);

    std::vector<QueueDemand> demand(TimePoint now) const;
    std::size_t size() const { return m_positions.size(); }
    /// Requests of the service that are queued at this entry and, by their reports, at the others.
    std::size_t waitingEverywhere(std::string_view service) const;
    /// Earliest time at which a queued request is refused; `TimePoint::max()` if none is queued.
    TimePoint nextRefusal() const;

private:
    struct QueuePosition
    {
        QueueRank rank = 0;
        TimePoint arrived;
        Ticket ticket = 0;

        auto operator<=>(const QueuePosition &) const = default;
    };
    struct RankDemand
    {
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        std::uint32_t late = 0;
        std::uint32_t selective = 0;
        double arrivalsPerSecond = 0;
        double startsPerSecond = 0;
    };
    /// What the fleet view needs to know of a rank at this entry.
    struct RankHistory
    {
        DecayingCount arrivals{rateDecayTime};
        /// Queued requests that had a place at the last decision, but no suitable upstream.
        std::uint32_t selective = 0;
    };
    struct ServiceQueue
    {
        std::map<QueuePosition, QueuedRequest> waiting;
        /// Number of assigned requests that have not ended, by rank.
        std::map<QueueRank, std::uint32_t> running;
        std::map<QueueRank, DecayingCount> starts;
        KindShares shares;
        /// Demand at the other entries, by rank.
        std::map<QueueRank, RankDemand> peerDemand;
        std::map<QueueRank, RankHistory> history;
    };
    static FleetRoom fleetRoom(const ServiceQueue &queue, TimePoint now);
    void decideService(const std::string &service, ServiceQueue &queue, TimePoint now,
                       QueueDecisions &decisions);
    /// Expected time for which the request occupies a slot of an average engine.
    Duration engineTime(const QueuedRequest &request) const;
    /// A queued request with the rank that determines its position in the start order.
    struct Candidate
    {
        const QueuedRequest *request = nullptr;
        /// Its own rank, or that of the donor kind if its own kind is below its guaranteed share.
        QueueRank effectiveRank = 0;
        /// It can no longer meet its objective.
        bool late = false;
        /// Its client has an appointment about now.
        bool keptReturn = false;
    };
    bool isKeptReturn(const QueuedRequest &request, TimePoint now) const;
    /// Queued requests in the order in which they may start.
    std::vector<Candidate> startOrder(const std::string &service, const ServiceQueue &queue,
                                      TimePoint now) const;
    /// Moves up as many requests of each kind as it lacks starts, within their tiers.
    static void promoteUnderserved(std::vector<Candidate> &order, const KindShares &shares,
                                   TimePoint now);
    void assign(const QueuedRequest &request, const UpstreamChoice &choice, TimePoint now,
                QueueDecisions &decisions);
    /// State shared by all queued requests of one rank during a decision.
    struct RankState
    {
        double startsPerSecond = 0;
        /// Requests of the rank examined so far that did not start.
        std::size_t ahead = 0;
        /// Those of them that had a place, but no suitable upstream.
        std::uint32_t selective = 0;
        /// Clients with an appointment in the next slot.
        double due = 0;
    };
    /// `room`: null without a view of the fleet.
    static RankState rankState(QueueRank rank, const ServiceQueue &queue, const FleetRoom *room,
                               TimePoint now);
    /// Whether the request cannot be expected to start in time behind those of its rank.
    /// `due`: clients that will return and go ahead of it.
    static bool cannotStartInTime(const QueuedRequest &request, const RankState &view, double due,
                                  const FleetRoom *room, TimePoint now);
    QueueRefusal refuse(const QueuedRequest &request, const RankState &view, int freePlaces,
                        int reserved, TimePoint now);
    /// Makes an appointment with the client of a refused request.
    ReturnBook::Appointment appoint(const QueuedRequest &request, double roomPerSecond,
                                    TimePoint now);
    /// Refuses requests whose `refuseAt` is not after `opensAt`, when the first upstream accepts
    /// requests again.
    void refuseWhileClosed(const ServiceQueue &queue, TimePoint opensAt, TimePoint now,
                           QueueDecisions &decisions);
    /// Capacity that requests of the rank must leave free for higher ranks, and late requests also
    /// for those of their rank. Late requests of the own tier at other entries do not count, so
    /// that late requests cannot block each other.
    static int reserve(QueueRank rank, bool late, const ServiceQueue &queue);
    static Duration retryAfter(const QueuedRequest &request, TimePoint now);

    /// Shorter than a burst, longer than the interval between starts of one rank at one entry.
    static constexpr milliseconds rateDecayTime{700};

    UpstreamTable &m_upstreams;
    SchedulingOptions m_options;
    ReturnBook m_returns;
    std::optional<TimePoint> m_peersToldAt;
    std::map<std::string, ServiceQueue, std::less<>> m_serviceQueues;
    std::unordered_map<Ticket, std::pair<std::string, QueuePosition>> m_positions;
    UpstreamChooser m_chooser;
};

} // namespace tamarack
