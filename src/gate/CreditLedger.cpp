#include "gate/CreditLedger.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::size_t maxSpentRecords = 200'000;

} // namespace

CreditId CreditLedger::issue(OpenCredit credit)
{
    m_open.emplace(++m_lastIssued, std::move(credit));
    return m_lastIssued;
}

std::optional<OpenCredit> CreditLedger::spend(CreditId id, Incarnation entry, RequestId request,
                                              TimePoint now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end() || found->second.entry != entry || found->second.expires <= now)
        return std::nullopt;
    OpenCredit credit = std::move(found->second);
    m_open.erase(found);
    m_spent.emplace(id, request);
    trimSpent();
    return credit;
}

std::optional<OpenCredit> CreditLedger::revoke(CreditId id)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return std::nullopt;
    OpenCredit credit = std::move(found->second);
    m_open.erase(found);
    return credit;
}

CreditFate CreditLedger::fate(CreditId id) const
{
    if (m_spent.contains(id))
        return CreditFate::Spent;
    // Nothing can be concluded about an id that this ledger never issued.
    return id <= m_highestEvicted || id > m_lastIssued ? CreditFate::Unknown : CreditFate::Unspent;
}

std::size_t CreditLedger::expire(TimePoint now)
{
    return std::erase_if(m_open, [now](const auto &row) { return row.second.expires <= now; });
}

void CreditLedger::revokeAll(Incarnation entry)
{
    std::erase_if(m_open,
                  [entry](const auto &row) { return entry == 0 || row.second.entry == entry; });
}

void CreditLedger::trimSpent()
{
    while (m_spent.size() > maxSpentRecords) {
        m_highestEvicted = std::max(m_highestEvicted, m_spent.begin()->first);
        m_spent.erase(m_spent.begin());
    }
}

} // namespace tamarack
