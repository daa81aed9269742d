#include "serving/QuotaLedger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tamarack {

namespace {

/// Part of a quota that may be used. The rest is a margin for requests that other entries have
/// admitted but not reported yet.
constexpr double usableShare = 0.97;
/// Part of the burst that counts as room although the bucket is nearly empty: without it, each
/// request of a workspace at its quota would be reported at once.
constexpr double leastRoomShare = 0.125;
/// Resolution at which sent units are counted within a window.
constexpr int slicesPerWindow = 32;
/// Pending requests of an entry that has been unresponsive for this long are taken to have ended.
constexpr std::chrono::seconds pendingRetention{2};
/// An entry that has been unresponsive for this long does not return under the same incarnation.
constexpr std::chrono::seconds peerRetention{120};

} // namespace

std::vector<QuotaUse> changedUses(const std::vector<QuotaUse> &before,
                                  const std::vector<QuotaUse> &now)
{
    std::vector<QuotaUse> changed;
    std::ranges::set_difference(now, before, std::back_inserter(changed));
    return changed;
}

void QuotaLedger::configure(const ServingConfig &config, TimePoint now)
{
    refill(now);
    std::map<std::string, Bucket, std::less<>> buckets;
    for (const Workspace &workspace : config.workspaces) {
        // Starts empty: other entries may have used the burst while this process was not running.
        Bucket bucket{workspace.rate, workspace.burst};
        const auto known = m_buckets.find(workspace.name);
        if (known != m_buckets.end()) {
            bucket = known->second;
            bucket.rate = workspace.rate;
            bucket.burst = workspace.burst;
            bucket.level = std::min(bucket.level, workspace.burst);
        }
        buckets.emplace(workspace.name, bucket);
    }
    m_buckets = std::move(buckets);
    countPeersPending();
}

bool QuotaLedger::tryReserve(std::string_view workspace, double cost, TimePoint now)
{
    refill(now);
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return true;
    Bucket &bucket = found->second;
    // The level may become negative: otherwise small requests would starve large ones.
    // The oldest slice is counted in full although part of it is outside the window.
    constexpr double countedWindow = 1 + 1.0 / slicesPerWindow;
    const double counted = bucket.sentInWindow + bucket.pending + bucket.peersPending;
    const bool empty = bucket.level <= 0 || counted >= allowance(bucket) * countedWindow;
    if (bucket.rate > 0 && empty)
        return false;
    bucket.pending += cost;
    bucket.untold += cost;
    bucket.admitted += cost;
    deduct(bucket, cost);
    return true;
}

void QuotaLedger::commit(std::string_view workspace, double cost, TimePoint now)
{
    refill(now);
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return;
    Bucket &bucket = found->second;
    bucket.pending = std::max(0.0, bucket.pending - cost);
    bucket.sent += cost;
    recordSent(bucket, cost);
}

void QuotaLedger::release(std::string_view workspace, double cost)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return;
    found->second.pending = std::max(0.0, found->second.pending - cost);
    deduct(found->second, -cost);
}

std::int64_t QuotaLedger::level(std::string_view workspace) const
{
    const auto found = m_buckets.find(workspace);
    const bool limited = found != m_buckets.end() && found->second.rate > 0;
    return limited ? static_cast<std::int64_t>(found->second.level) : 0;
}

Duration QuotaLedger::timeUntilAvailable(std::string_view workspace) const
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end() || found->second.rate <= 0)
        return Duration::zero();
    const Bucket &bucket = found->second;
    const double missing = std::max(0.0, -bucket.level);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(missing / refillRate(bucket)));
}

void QuotaLedger::applyReport(std::uint64_t entryIncarnation, const std::vector<QuotaUse> &uses,
                              TimePoint now)
{
    refill(now);
    Peer &peer = m_peers[entryIncarnation];
    peer.lastReportAt = now;
    for (const QuotaUse &use : uses)
        applyUse(peer, use);
}

void QuotaLedger::recordAlive(std::uint64_t entryIncarnation, TimePoint now)
{
    const auto peer = m_peers.find(entryIncarnation);
    if (peer != m_peers.end())
        peer->second.lastReportAt = std::max(peer->second.lastReportAt, now);
}

bool QuotaLedger::mustTell(std::size_t groups) const
{
    return std::ranges::any_of(m_buckets, [groups](const auto &item) {
        const Bucket &bucket = item.second;
        const double room = std::max(bucket.level, bucket.burst * leastRoomShare);
        return bucket.rate > 0 && bucket.untold > 0
               && bucket.admitted * static_cast<double>(groups) > room;
    });
}

void QuotaLedger::markTold()
{
    for (auto &[name, bucket] : m_buckets)
        bucket.untold = bucket.admitted = 0;
}

void QuotaLedger::applyUse(Peer &peer, const QuotaUse &use)
{
    const auto [known, isNew] = peer.uses.try_emplace(use.workspace, use);
    const QuotaUse before = std::exchange(known->second, use);
    const auto bucket = m_buckets.find(use.workspace);
    if (bucket == m_buckets.end())
        return;
    // It is unknown when an entry sent what it had sent before its first report.
    const double sent = isNew ? 0 : std::max(0.0, use.sent - before.sent);
    const double pendingBefore = isNew ? 0 : before.pending;
    recordSent(bucket->second, sent);
    bucket->second.peersPending += use.pending - pendingBefore;
    bucket->second.admitted += std::max(0.0, sent + use.pending - pendingBefore);
    deduct(bucket->second, sent + use.pending - pendingBefore);
}

void QuotaLedger::countPeersPending()
{
    for (auto &[name, bucket] : m_buckets)
        bucket.peersPending = 0;
    for (const auto &[incarnation, peer] : m_peers) {
        for (const auto &[name, use] : peer.uses) {
            const auto bucket = m_buckets.find(name);
            if (bucket != m_buckets.end())
                bucket->second.peersPending += use.pending;
        }
    }
}

void QuotaLedger::expireUnresponsivePeers(TimePoint now)
{
    for (auto &[incarnation, peer] : m_peers) {
        if (now - peer.lastReportAt <= pendingRetention)
            continue;
        for (auto &[name, use] : peer.uses) {
            const double pending = std::exchange(use.pending, 0);
            const auto bucket = m_buckets.find(name);
            if (bucket != m_buckets.end())
                bucket->second.peersPending -= pending;
        }
    }
    std::erase_if(m_peers, [now](const auto &item) {
        return now - item.second.lastReportAt > peerRetention;
    });
}

void QuotaLedger::setReportingShare(double share, TimePoint now)
{
    refill(now);
    expireUnresponsivePeers(now);
    m_share = share;
}

std::vector<QuotaUse> QuotaLedger::uses() const
{
    std::vector<QuotaUse> uses;
    for (const auto &[name, bucket] : m_buckets)
        if (bucket.rate > 0)
            uses.push_back({name, bucket.sent, bucket.pending});
    return uses;
}

void QuotaLedger::refill(TimePoint now)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_refilledAt).count());
    if (m_refilledAt != TimePoint{})
        for (auto &[name, bucket] : m_buckets)
            bucket.level = std::min(bucket.burst, bucket.level + refillRate(bucket) * seconds);
    m_refilledAt = now;
    for (auto &[name, bucket] : m_buckets)
        dropExpiredSlices(bucket, now);
}

double QuotaLedger::refillRate(const Bucket &bucket) const
{
    return allowance(bucket) / std::chrono::duration<double>(m_window).count();
}

double QuotaLedger::allowance(const Bucket &bucket) const
{
    const double seconds = std::chrono::duration<double>(m_window).count();
    return (bucket.rate * seconds + bucket.burst) * m_share * usableShare;
}

void QuotaLedger::deduct(Bucket &bucket, double units)
{
    bucket.level = std::min(bucket.burst, bucket.level - units);
}

void QuotaLedger::recordSent(Bucket &bucket, double units) const
{
    const Duration slice = m_window / slicesPerWindow;
    if (bucket.slices.empty() || m_refilledAt - bucket.slices.back().begin >= slice)
        bucket.slices.push_back({m_refilledAt, 0});
    bucket.slices.back().sent += units;
    bucket.sentInWindow += units;
}

void QuotaLedger::dropExpiredSlices(Bucket &bucket, TimePoint now) const
{
    const Duration slice = m_window / slicesPerWindow;
    while (!bucket.slices.empty() && now - bucket.slices.front().begin >= m_window + slice) {
        bucket.sentInWindow -= bucket.slices.front().sent;
        bucket.slices.pop_front();
    }
}

} // namespace tamarack
