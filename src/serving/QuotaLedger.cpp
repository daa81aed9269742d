#include "serving/QuotaLedger.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Fill of the bucket of a workspace that is new to this process: the others may have used it.
constexpr double initialFill = 0.25;

} // namespace

void QuotaLedger::configure(const ServingConfig &config, TimePoint now)
{
    refill(now);
    std::map<std::string, Bucket, std::less<>> buckets;
    for (const Workspace &workspace : config.workspaces) {
        Bucket bucket{workspace.rate, workspace.burst, initialFill * workspace.burst, 0};
        const auto known = m_buckets.find(workspace.name);
        if (known != m_buckets.end()) {
            bucket.used = known->second.used;
            bucket.level = std::min(known->second.level, workspace.burst);
        }
        buckets.emplace(workspace.name, bucket);
    }
    m_buckets = std::move(buckets);
}

bool QuotaLedger::tryTake(std::string_view workspace, double cost, TimePoint now)
{
    refill(now);
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return true;
    Bucket &bucket = found->second;
    // A request may leave a debt: otherwise small ones would keep large ones out for ever.
    if (bucket.rate > 0 && bucket.level <= 0)
        return false;
    bucket.level -= cost;
    bucket.used += cost;
    return true;
}

void QuotaLedger::giveBack(std::string_view workspace, double cost)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return;
    found->second.level = std::min(found->second.burst, found->second.level + cost);
    found->second.used -= cost;
}

std::int64_t QuotaLedger::level(std::string_view workspace) const
{
    const auto found = m_buckets.find(workspace);
    return found == m_buckets.end() ? 0 : static_cast<std::int64_t>(found->second.level);
}

Duration QuotaLedger::untilRoom(std::string_view workspace) const
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end() || found->second.rate <= 0)
        return Duration::zero();
    const Bucket &bucket = found->second;
    const double missing = std::max(0.0, -bucket.level);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(missing / (bucket.rate * m_share)));
}

void QuotaLedger::learn(std::uint64_t entryIncarnation, const std::vector<QuotaUse> &uses)
{
    for (const QuotaUse &use : uses) {
        const auto [heard, isNew] =
            m_heard.try_emplace({entryIncarnation, use.workspace}, use.total);
        const double fresh = use.total - heard->second;
        heard->second = use.total;
        const auto bucket = m_buckets.find(use.workspace);
        if (!isNew && bucket != m_buckets.end())
            bucket->second.level = std::min(bucket->second.burst, bucket->second.level - fresh);
    }
}

void QuotaLedger::setHeardShare(double share, TimePoint now)
{
    refill(now);
    m_share = share;
}

std::vector<QuotaUse> QuotaLedger::uses() const
{
    std::vector<QuotaUse> uses;
    for (const auto &[name, bucket] : m_buckets)
        if (bucket.rate > 0)
            uses.push_back({name, bucket.used});
    return uses;
}

void QuotaLedger::refill(TimePoint now)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_refilledAt).count());
    if (m_refilledAt != TimePoint{})
        for (auto &[name, bucket] : m_buckets)
            bucket.level = std::min(bucket.burst, bucket.level + bucket.rate * m_share * seconds);
    m_refilledAt = now;
}

} // namespace tamarack
