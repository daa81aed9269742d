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

/// Units that an entry has admitted for a workspace.
struct QuotaUse
{
    std::string workspace;
    /// Units sent to upstreams since the entry started; never decreases.
    double sent = 0;
    /// Units of admitted requests that have not been sent yet.
    double pending = 0;

    auto operator<=>(const QuotaUse &) const = default;
};

/// Returns the uses in `now` that are missing from `before` or differ there. Both lists are sorted
/// by workspace, without duplicates.
std::vector<QuotaUse> changedUses(const std::vector<QuotaUse> &before,
                                  const std::vector<QuotaUse> &now);

/// Token buckets that enforce the workspaces' quotas over all entries. Each entry keeps a bucket of
/// the full size and deducts from it what it admits and what the other entries report as admitted.
///
/// The quota of a workspace is what it may use in any window: its rate times the window plus its
/// burst. The bucket has the capacity of the burst and refills at a constant rate. In addition, the
/// units sent within the window and the pending units together may not exceed the quota.
///
/// The ledger must hold when one workspace sends many times its usual load through all entries and
/// many of these requests are refused after queueing. A request therefore counts in the window in
/// which it is sent, not in the one in which it was charged. While some entries are unresponsive,
/// the bucket refills only by the share of the entries that report, so that entries that are
/// partitioned from one another stay within the quota together.
class QuotaLedger
{
public:
    /// `window`: the period over which the platform checks quotas.
    explicit QuotaLedger(Duration window = std::chrono::seconds(8))
        : m_window(window)
    {}

    /// Applies the quotas of a configuration. A lower burst takes effect at once.
    void configure(const ServingConfig &config, TimePoint now);

    /// Deducts the cost from the bucket, whose level may become negative. Returns false if the
    /// quota is exhausted. The cost is pending until `commit` or `release`.
    bool tryReserve(std::string_view workspace, double cost, TimePoint now);
    /// Records that a pending request is sent to an upstream. Its cost can no longer be released.
    void commit(std::string_view workspace, double cost, TimePoint now);
    /// Releases the cost of a pending request that was not sent.
    void release(std::string_view workspace, double cost);
    /// Units in the bucket; 0 for a workspace without a quota.
    std::int64_t level(std::string_view workspace) const;
    /// Time until the bucket is no longer empty.
    Duration timeUntilAvailable(std::string_view workspace) const;

    /// Deducts what another entry has admitted since its last report.
    void applyReport(std::uint64_t entryIncarnation, const std::vector<QuotaUse> &uses,
                     TimePoint now);
    /// Another entry is alive although it has nothing new to report.
    void recordAlive(std::uint64_t entryIncarnation, TimePoint now);
    /// Whether this entry has admitted something that it has not reported to the other exchange
    /// groups, and what all of `groups` may have admitted since `markTold`, if each admits as much
    /// as is known here, could exhaust a quota.
    bool mustTell(std::size_t groups) const;
    /// All use so far has been reported to the other groups.
    void markTold();
    /// Sets the share of the known entries that report, including this one.
    void setReportingShare(double share, TimePoint now);

    /// Sorted by workspace.
    std::vector<QuotaUse> uses() const;

private:
    /// Units sent in one part of the window.
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
        /// At the other entries that report.
        double peersPending = 0;
        std::deque<Slice> slices{};
        double sentInWindow = 0;
        /// Units admitted here, and by the whole exchange as far as known, since `markTold`.
        double untold = 0;
        double admitted = 0;
    };
    struct Peer
    {
        TimePoint lastReportAt{};
        std::map<std::string, QuotaUse, std::less<>> uses;
    };

    void refill(TimePoint now);
    /// Drops the pending units of unresponsive entries, and the entries that have been unresponsive
    /// for long.
    void expireUnresponsivePeers(TimePoint now);
    void applyUse(Peer &peer, const QuotaUse &use);
    void countPeersPending();
    /// Refill rate of the bucket in units per second.
    double refillRate(const Bucket &bucket) const;
    double allowance(const Bucket &bucket) const;
    static void deduct(Bucket &bucket, double units);
    void recordSent(Bucket &bucket, double units) const;
    void dropExpiredSlices(Bucket &bucket, TimePoint now) const;

    Duration m_window;

    std::map<std::string, Bucket, std::less<>> m_buckets;
    std::map<std::uint64_t, Peer> m_peers;
    double m_share = 1;
    TimePoint m_refilledAt{};
};

} // namespace tamarack
