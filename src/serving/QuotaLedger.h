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

/// Units that an entry has let through for a workspace since it started.
struct QuotaUse
{
    std::string workspace;
    double total = 0;

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
/// The bucket holds the burst and spreads the rest evenly; what was used within the window bounds
/// it besides.
///
/// Load: one workspace sends many times its usual through all entries. While some entries are
/// not heard, the bucket refills by the share of those that are, so that entries cut off from
/// one another stay within the quota together.
class QuotaLedger
{
public:
    /// `window`: over which the platform judges quotas.
    explicit QuotaLedger(Duration window = std::chrono::seconds(8))
        : m_window(window)
    {}

    /// Applies the quotas of a configuration. A lower burst holds at once.
    void configure(const ServingConfig &config, TimePoint now);

    /// Takes the cost from the bucket, which may leave a debt; false when it is empty.
    bool tryTake(std::string_view workspace, double cost, TimePoint now);
    /// Gives back the cost of a request that did not run.
    void giveBack(std::string_view workspace, double cost);
    /// Units in the bucket; 0 for a workspace without a quota.
    std::int64_t level(std::string_view workspace) const;
    /// Time until the bucket is no longer empty.
    Duration untilRoom(std::string_view workspace) const;

    /// Takes what another entry let through since it was heard last.
    void learn(std::uint64_t entryIncarnation, const std::vector<QuotaUse> &uses);
    /// Share of the known entries that are heard, this one included.
    void setHeardShare(double share, TimePoint now);

    /// By workspace, in order.
    std::vector<QuotaUse> uses() const;

private:
    /// What was used in one part of the window.
    struct Slice
    {
        TimePoint begin{};
        double used = 0;
    };
    struct Bucket
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        double used = 0;
        std::deque<Slice> slices{};
        double usedInWindow = 0;
    };

    void refill(TimePoint now);
    /// Units a second at which the bucket refills.
    double refillRate(const Bucket &bucket) const;
    double allowance(const Bucket &bucket) const;
    void spend(Bucket &bucket, double units) const;
    void dropOld(Bucket &bucket, TimePoint now) const;

    Duration m_window;

    std::map<std::string, Bucket, std::less<>> m_buckets;
    std::map<std::pair<std::uint64_t, std::string>, double> m_heard;
    double m_share = 1;
    TimePoint m_refilledAt{};
};

} // namespace tamarack
