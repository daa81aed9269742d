#include "serving/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

/// Parts of a window's budget that are received in the course of a window, and that may be kept
/// from before. Their sum is less than 1, since retries take time to arrive.
constexpr double receivedShare = 0.75;
constexpr double keptShare = 0.2;

} // namespace

void RetryBudget::setEntries(std::size_t count, TimePoint now)
{
    if (count < m_entries && now - m_entriesAt <= m_bounds.window)
        return;
    m_entries = count;
    m_entriesAt = now;
}

double RetryBudget::slackShare() const
{
    return m_entries == 0 ? 0 : m_bounds.slack / static_cast<double>(m_entries);
}

void RetryBudget::addTokens(Bucket &bucket, double tokens) const
{
    const double most = keptShare * (m_bounds.ratio * bucket.requests + slackShare());
    bucket.tokens = std::min(bucket.tokens + tokens, most);
}

RetryBudget::Bucket &RetryBudget::bucketAt(std::string_view service, TimePoint now)
{
    auto found = m_buckets.find(service);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(service), Bucket{0, 0, 0, m_startedAt}).first;
    Bucket &bucket = found->second;
    const double windows = std::max(0.0, std::chrono::duration<double>(now - bucket.updatedAt)
                                             / std::chrono::duration<double>(m_bounds.window));
    bucket.updatedAt = now;
    bucket.requests *= std::exp(-windows);
    addTokens(bucket, receivedShare * slackShare() * windows);
    return bucket;
}

void RetryBudget::countRequest(std::string_view service, TimePoint now)
{
    Bucket &bucket = bucketAt(service, now);
    bucket.requests += 1;
    addTokens(bucket, receivedShare * m_bounds.ratio);
}

bool RetryBudget::tryReserve(std::string_view service, TimePoint now)
{
    Bucket &bucket = bucketAt(service, now);
    if (bucket.tokens < bucket.reserved + 1)
        return false;
    ++bucket.reserved;
    return true;
}

void RetryBudget::spend(std::string_view service, TimePoint now)
{
    Bucket &bucket = bucketAt(service, now);
    bucket.reserved -= std::min(bucket.reserved, 1U);
    bucket.tokens -= 1;
}

void RetryBudget::release(std::string_view service)
{
    if (const auto found = m_buckets.find(service); found != m_buckets.end())
        found->second.reserved -= std::min(found->second.reserved, 1U);
}

RetryBudget::Usage RetryBudget::usage(std::string_view service) const
{
    const auto found = m_buckets.find(service);
    if (found == m_buckets.end())
        return {};
    const Bucket &bucket = found->second;
    return {bucket.tokens, bucket.reserved, bucket.requests};
}

} // namespace tamarack
