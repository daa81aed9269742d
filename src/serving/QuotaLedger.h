#pragma once

#include "base/Time.h"
#include "serving/ServingConfig.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// What an entry has let through for a workspace.
struct QuotaUse
{
    std::string workspace;
    /// Units sent to upstreams since the entry started; never falls.
    double sent = 0;
    /// Units of admitted requests that still wait to be sent.
    double pending = 0;

    auto operator<=>(const QuotaUse &) const = default;
};

/// The uses in `now` that `before` lacks or tells otherwise. Both by workspace, each once, in
/// order.
std::vector<QuotaUse> changedUses(const std::vector<QuotaUse> &before,
                                  const std::vector<QuotaUse> &now);

/// Token buckets of the workspaces over all entries: each entry keeps the whole bucket and takes
/// from it what it lets through and what the others say they let through.
///
/// The quota is what a workspace may use in any window: its rate times the window plus its burst.
/// The bucket holds the burst and spreads the rest evenly; what was sent within the window and
/// what still waits to be sent bound it besides.
///
/// Load: one workspace sends many times its usual through all entries, and much of it is refused
/// after a wait. A request counts in the window in which it is sent, wherever it was charged.
/// While some entries are not heard, the bucket refills by the share of those that are, so that
/// entries cut off from one another stay within the quota together.
class QuotaLedger
{
public:
    /// `window`: over which the platform judges quotas.
    explicit QuotaLedger(Duration window = std::chrono::seconds(8))
        : m_window(window)
    {}

    /// Applies the quotas of a configuration. A lower burst holds at once.
    void configure(const ServingConfig &config, TimePoint now);

    /// Takes the cost from the bucket, which may leave a debt; false when it is empty. The cost is
    /// pending until `send` or `giveBack`.
    bool tryTake(std::string_view workspace, double cost, TimePoint now);
    /// A pending request is sent to an upstream; its cost is not given back any more.
    void send(std::string_view workspace, double cost, TimePoint now);
    /// Gives back the cost of a pending request that was not sent.
    void giveBack(std::string_view workspace, double cost);
    /// Units in the bucket; 0 for a workspace without a quota.
    std::int64_t level(std::string_view workspace) const;
    /// Time until the bucket is no longer empty.
    Duration untilRoom(std::string_view workspace) const;

    /// Takes what another entry let through since it was heard last.
    void learn(std::uint64_t entryIncarnation, const std::vector<QuotaUse> &uses, TimePoint now);
    /// Share of the known entries that are heard, this one included.
    void setHeardShare(double share, TimePoint now);

    /// By workspace, in order.
    std::vector<QuotaUse> uses() const;

private:
    /// What was sent in one part of the window.
    struct Slice
    {
        TimePoint begin{};
        double sent = 0;
    };
    struct Bucket
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        /// By this entry.
        double sent = 0;
        double pending = 0;
        /// At the entries that are heard.
        double peersPending = 0;
        std::deque<Slice> slices{};
        double sentInWindow = 0;
    };
    struct Peer
    {
        TimePoint heardAt{};
        std::map<std::string, QuotaUse, std::less<>> uses;
    };

    void refill(TimePoint now);
    /// Drops what silent entries had pending, and entries that are long gone.
    void forgetSilent(TimePoint now);
    void learnUse(Peer &peer, const QuotaUse &use);
    void countPeersPending();
    /// Units a second at which the bucket refills.
    double refillRate(const Bucket &bucket) const;
    double allowance(const Bucket &bucket) const;
    static void draw(Bucket &bucket, double units);
    void recordSent(Bucket &bucket, double units) const;
    void dropOld(Bucket &bucket, TimePoint now) const;

    Duration m_window;

    std::map<std::string, Bucket, std::less<>> m_buckets;
    std::map<std::uint64_t, Peer> m_peers;
    double m_share = 1;
    TimePoint m_refilledAt{};
};

} // namespace tamarack
