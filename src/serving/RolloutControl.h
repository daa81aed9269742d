#pragma once

#include "base/RequestId.h"
#include "serving/FreshnessGuard.h"
#include "serving/RolloutBounds.h"
#include "serving/RolloutJudge.h"
#include "serving/RolloutOrder.h"
#include "serving/RolloutReport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// How an attempt at an upstream of a service that has an order ended.
struct RolloutAnswer
{
    std::string_view service;
    std::string_view version;
    std::uint8_t routeTier = 0;
    std::uint64_t upstream = 0;
    bool failed = false;
    bool slow = false;
};

/// A status that this entry should write.
struct RolloutStatusDue
{
    RolloutOrder order;
    RolloutState state = RolloutState::Running;
};

/// What the decisions on a roll-out need to know of the fleet.
struct RolloutFleetView
{
    /// Fraction of all possibly serving entries that are reachable.
    double reachableShare = 1;
    /// This entry's place among those that write the status; 0 writes first, none does not write.
    std::optional<std::size_t> writerRank;
    /// Services without a request in flight at their former version.
    std::set<std::string> formerIdle;
};

/// Decides for one entry which software versions of a service its requests may use while an order
/// to move the service to another version is in force, and what the order's status should say.
///
/// A version may be bad, at once or late, while entries crash, freeze or are cut off. Every entry
/// therefore bounds the share of its own requests by itself, and gives the new version nothing
/// unless it knows the orders as of a moment ago; so the fleet's share is bounded without
/// agreement. A version that is listed beside another one gets nothing until the orders have been
/// read after that. Times are those of the boot clock.
class RolloutControl
{
public:
    explicit RolloutControl(RolloutBounds bounds)
        : m_bounds(bounds)
    {}

    /// Replaces the versions of the listed upstreams, by service.
    void setVersions(const std::map<std::string, std::set<std::string>> &versions, BootTime now);
    /// Replaces the orders by those of the store, read by a call that began at `readAt`.
    void applyOrders(std::span<const RolloutOrder> orders, BootTime readAt, BootTime now);
    /// Returns whether the verdict on the order has changed.
    bool applyReport(Incarnation process, const RolloutReport &report, BootTime now);
    /// Call at least every 500 ms: a longer time between two calls means that the process stood
    /// still. Updates the verdicts.
    void tick(const RolloutFleetView &fleet, BootTime now);

    /// Versions that new requests must not use; a turn is the exception.
    std::set<std::string> withheldVersions(std::string_view service, BootTime now) const;
    /// Whether the next request goes to the new version, and reserves its place in the share.
    bool takeTurn(std::string_view service, BootTime now);
    /// Whether a request may be sent to the version at all, be it a turn or part of a stream.
    bool maySend(std::string_view service, std::string_view version, BootTime now) const;
    /// `isTurn`: `takeTurn` has counted it.
    void countSend(std::string_view service, std::string_view version, bool isTurn);
    void recordAnswer(const RolloutAnswer &answer);

    /// Whether the orders have to be read from the store.
    bool needsRead(BootTime now) const;
    /// Whether an order is in force that has no final status.
    bool isActive() const;
    /// The status to write now, if any.
    std::optional<RolloutStatusDue> statusDue(const RolloutFleetView &fleet, BootTime now);
    std::vector<RolloutReport> reports(BootTime now) const;

    struct View
    {
        RolloutOrder order;
        RolloutVerdict verdict = RolloutVerdict::Open;
        std::optional<RolloutState> settled;
        milliseconds age{0};
        /// Since the orders were known to be current; -1 if they never were.
        milliseconds proofAge{-1};
        std::uint64_t sends = 0;
        std::uint64_t newSends = 0;
        RolloutJudge::Side current;
        RolloutJudge::Side former;
    };
    std::vector<View> views(BootTime now) const;
    /// Version to which an order without a final status moves the service; none without one.
    std::optional<std::string> newVersion(std::string_view service) const;
    milliseconds orderAge(std::string_view service, BootTime now) const;
    /// Share of its requests that this entry gives to a version that is being watched.
    double watchShare() const;

    /// An entry that does not know the orders as of this long ago gives a new version nothing.
    static constexpr milliseconds maxProofAge{2500};
    /// Age of the proof at which the entry reads the orders itself.
    static constexpr milliseconds readProofAge{1700};
    /// Shortest time without a tick that counts as standing still.
    static constexpr milliseconds standstill{700};
    /// After standing still, messages of before it may still arrive for this long.
    static constexpr milliseconds backlog{1000};
    /// Fewest answers of a new version, fleet-wide, on which it counts as good.
    static constexpr std::uint64_t leastAnswers = 20;

private:
    struct Rollout
    {
        RolloutOrder order;
        RolloutJudge judge;
        RolloutVerdict verdict = RolloutVerdict::Open;
        BootTime seenAt{};
        std::optional<BootTime> provedAt;
        /// The final status, once it has been read.
        std::optional<RolloutState> settled;
        BootTime settledAt{};
        RolloutEvidence own;
        std::uint64_t sends = 0;
        std::uint64_t newSends = 0;
        std::optional<BootTime> dueSince;
        /// Versions beside the new one when the order was completed.
        std::set<std::string> former;
    };

    static bool isProved(const Rollout &rollout, BootTime now);
    bool isCleared(const std::string &service, const std::string &version) const;
    bool isListed(const std::string &service, const std::string &version) const;
    /// Whether the answers suffice to move all requests to the new version.
    bool isGood(const Rollout &rollout, const RolloutFleetView &fleet, BootTime now) const;
    std::optional<RolloutState> desiredState(const Rollout &rollout, const RolloutFleetView &fleet,
                                             BootTime now) const;
    void settle(Rollout &rollout, RolloutState state, BootTime now) const;
    /// The point of the order's duration that `fraction` names has passed.
    static bool hasReached(const Rollout &rollout, double fraction, BootTime now);

    RolloutBounds m_bounds;
    std::map<std::string, Rollout, std::less<>> m_rollouts;
    /// Listed versions with the time at which they were first seen.
    std::map<std::string, std::map<std::string, BootTime>, std::less<>> m_versions;
    /// Versions that were the only one of their service.
    std::map<std::string, std::set<std::string>> m_established;
    /// New versions of orders that ended without a status.
    std::map<std::string, std::set<std::string>, std::less<>> m_withdrawn;
    std::optional<BootTime> m_readAt;
    bool m_unknownReported = false;
    std::optional<BootTime> m_tickAt;
    BootTime m_resumedAt{};
};

} // namespace tamarack
