#include "base/ConnectionBudget.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

/// Part of the memory, beyond its limit, that is kept for connections that hold little.
constexpr std::size_t smallShareDivisor = 4;
/// Part of the connections that may be ending besides those that count.
constexpr std::size_t endingDivisor = 16;
/// A connection counts as having moved at least this long ago.
constexpr Duration shortestPause = milliseconds(1);

} // namespace

ConnectionBudget::Share::Share(ConnectionBudget &budget, std::string source, TimePoint now,
                               std::function<void()> evict)
    : m_budget(budget)
    , m_source(std::move(source))
    , m_evict(std::move(evict))
    , m_movedAt(now)
    , m_admitted(budget.admit(*this, now))
{}

ConnectionBudget::Share::~Share()
{
    if (m_admitted)
        m_budget.remove(*this);
}

void ConnectionBudget::Share::enter(Phase phase, TimePoint now)
{
    m_movedAt.store(now, std::memory_order_relaxed);
    m_phase.store(phase, std::memory_order_relaxed);
}

bool ConnectionBudget::Share::tryHold(std::size_t bytes, TimePoint now)
{
    return m_budget.resize(*this, connectionBytes + bytes, now, true);
}

void ConnectionBudget::Share::hold(std::size_t bytes, TimePoint now)
{
    m_budget.resize(*this, connectionBytes + bytes, now, false);
}

void ConnectionBudget::Share::readmit()
{
    m_budget.readmit(*this);
}

ConnectionBudget::ConnectionBudget(Limits limits)
    : m_limits(limits)
{}

ConnectionBudget::Usage ConnectionBudget::usage() const
{
    const std::lock_guard lock(m_mutex);
    Usage usage = m_usage;
    usage.connections = m_shares.size();
    return usage;
}

bool ConnectionBudget::admit(Share &share, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool isFull = m_shares.size() - m_ending >= m_limits.connections;
    const bool isShort = m_usage.bytes + connectionBytes > m_limits.bytes;
    const bool mayEvict = m_ending <= m_limits.connections / endingDivisor;
    if (isFull || isShort) {
        Share *first = mayEvict ? heaviest(now) : nullptr;
        if (first)
            evict(*first);
        if (!first && (isFull || !isSmall(connectionBytes))) {
            ++m_usage.refused;
            return false;
        }
    }
    share.m_index = m_shares.size();
    m_shares.push_back(&share);
    m_bytesBySource[share.m_source] += connectionBytes;
    m_usage.bytes += connectionBytes;
    return true;
}

void ConnectionBudget::remove(Share &share)
{
    const std::lock_guard lock(m_mutex);
    if (share.m_evicted)
        --m_ending;
    else
        account(share, 0);
    const auto source = m_bytesBySource.find(share.m_source);
    if (source != m_bytesBySource.end() && source->second == 0)
        m_bytesBySource.erase(source);
    Share *last = m_shares.back();
    last->m_index = share.m_index;
    m_shares[share.m_index] = last;
    m_shares.pop_back();
}

bool ConnectionBudget::resize(Share &share, std::size_t bytes, TimePoint now, bool mayRefuse)
{
    const std::lock_guard lock(m_mutex);
    if (share.m_evicted)
        return false;
    const std::size_t before = share.m_bytes;
    account(share, bytes);
    while (bytes > before && m_usage.bytes > m_limits.bytes) {
        Share *first = heaviest(now);
        if (first && first != &share) {
            evict(*first);
            continue;
        }
        const bool fits =
            isSmall(bytes) && m_usage.bytes <= m_limits.bytes + m_limits.bytes / smallShareDivisor;
        if (fits || !mayRefuse)
            break;
        account(share, before);
        ++m_usage.refused;
        return false;
    }
    return true;
}

void ConnectionBudget::readmit(Share &share)
{
    const std::lock_guard lock(m_mutex);
    if (!std::exchange(share.m_evicted, false))
        return;
    m_usage.bytes += share.m_bytes;
    m_bytesBySource[share.m_source] += share.m_bytes;
    --m_usage.evicted;
    --m_ending;
}

void ConnectionBudget::account(Share &share, std::size_t bytes)
{
    m_usage.bytes = m_usage.bytes - share.m_bytes + bytes;
    std::size_t &source = m_bytesBySource[share.m_source];
    source = source - share.m_bytes + bytes;
    share.m_bytes = bytes;
}

void ConnectionBudget::evict(Share &share)
{
    m_usage.bytes -= share.m_bytes;
    m_bytesBySource[share.m_source] -= share.m_bytes;
    share.m_evicted = true;
    ++m_usage.evicted;
    ++m_ending;
    share.m_evict();
}

ConnectionBudget::Share *ConnectionBudget::heaviest(TimePoint now)
{
    const auto canGo = [](const Share *share) {
        return !share->m_evicted && share->m_phase != Phase::Serving;
    };
    const auto weight = [&](const Share *share) {
        if (!canGo(share))
            return -1.0;
        const Duration pause = std::max<Duration>(now - share->m_movedAt.load(), shortestPause);
        return static_cast<double>(share->m_bytes) * static_cast<double>(pause.count())
               * static_cast<double>(m_bytesBySource.find(share->m_source)->second);
    };
    // Each weight is computed once: the phases change while the shares are compared.
    Share *heaviest = nullptr;
    double most = 0;
    for (Share *share : m_shares)
        if (const double found = weight(share); found > most) {
            most = found;
            heaviest = share;
        }
    return heaviest;
}

bool ConnectionBudget::isSmall(std::size_t bytes) const
{
    return bytes <= m_limits.bytes / std::max<std::size_t>(1, m_shares.size());
}

} // namespace tamarack
