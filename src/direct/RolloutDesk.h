#pragma once

#include "base/Metrics.h"
#include "serving/DispatchQueue.h"
#include "serving/RolloutControl.h"
#include "serving/UpstreamTable.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// Connects the decisions on roll-outs with the upstreams, the queue and the store. Without
/// `bounds`, every version serves every request. Used on the traffic thread only.
class RolloutDesk
{
public:
    RolloutDesk(std::optional<RolloutBounds> bounds, UpstreamTable &upstreams, DispatchQueue &queue,
                Metrics &metrics);

    /// The listed upstreams have changed.
    void upstreamsChanged();
    void applyOrders(const std::vector<RolloutOrder> &orders, BootTime readAt);
    void applyReports(Incarnation process, std::span<const RolloutReport> reports);
    std::vector<RolloutReport> reports() const;

    /// Sets the versions that a request must not use, and the upstreams to which it is bound if it
    /// is this entry's turn to send one to a new version.
    void prepare(QueuedRequest &request);
    /// Whether a request may be sent to the upstream now.
    bool maySend(const UpstreamState &upstream) const;
    bool maySend(std::string_view service, std::string_view version) const;
    /// Whether two attempts of one request may run at these upstreams at the same time.
    static bool isSameVersion(const UpstreamState &a, const UpstreamState &b)
    {
        return a.record.version == b.record.version;
    }
    void countSend(const UpstreamState &upstream, bool isTurn);
    /// `failed`: it ended without a good answer, or never; `took` of `expected` for the answer.
    struct Outcome
    {
        bool failed = false;
        Duration took{};
        Duration expected{};
    };
    void recordAnswer(const UpstreamState &upstream, std::uint8_t routeTier,
                      const Outcome &outcome);

    /// What the decisions need to know of the other entries.
    struct Fleet
    {
        std::vector<std::string> followers;
        std::string ownName;
        double reachableShare = 1;
        bool elected = false;
        bool draining = false;
    };
    void tick(const Fleet &fleet);

    /// Called when the orders should be read from the store.
    std::function<void()> onReadDue;
    std::function<void(const RolloutStatusDue &)> onStatusDue;
    std::function<void(bool elected, bool active)> onDutyChanged;

private:
    /// Applies the withheld versions to upstreams and queue.
    void applyWithheld(BootTime now);
    /// The upstreams of the new version that get requests now: so few that they are as busy as
    /// those of the former version.
    std::vector<UpstreamKey> watchedUpstreams(const std::string &service, const std::string &to,
                                              BootTime now) const;
    std::set<std::string> idleFormer() const;
    void logChanges(BootTime now);

    std::optional<RolloutControl> m_control;
    UpstreamTable &m_upstreams;
    DispatchQueue &m_queue;
    Metrics &m_metrics;
    /// Versions withheld from requests in general, by service.
    std::map<std::string, std::set<std::string>> m_withheld;
    struct Logged
    {
        RolloutOrder order;
        RolloutVerdict verdict = RolloutVerdict::Open;
    };
    std::map<std::string, Logged> m_logged;
    bool m_elected = true;
    bool m_active = false;
    BootTime m_readRequestedAt{};
};

} // namespace tamarack
