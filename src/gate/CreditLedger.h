#pragma once

#include "base/Time.h"
#include "peer/Messages.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// A credit that was issued and neither spent, returned nor expired.
struct OpenCredit
{
    Incarnation entry = 0;
    std::string target;
    TierRank tier = 0;
    std::string workspace;
    std::uint32_t promptTokens = 0;
    TimePoint expires{};
    bool spare = false;
};

/// What the ledger can prove about a credit.
enum class CreditFate : std::uint8_t { Unspent, Spent, Forgotten };

/// Issues credits and remembers which were spent, on which request. A credit is spent at most
/// once; a credit that is not open any more and was not spent never will be.
class CreditLedger
{
public:
    CreditId issue(OpenCredit credit);

    /// Removes and returns the credit if it is open, belongs to `entry` and has not expired.
    std::optional<OpenCredit> spend(CreditId id, Incarnation entry, RequestId request,
                                    TimePoint now);

    /// Closes an open credit unspent.
    std::optional<OpenCredit> revoke(CreditId id);

    /// Takes back a spent credit whose request provably did not start.
    void markUnspent(CreditId id) { m_spent.erase(id); }

    CreditFate fate(CreditId id) const;

    /// Closes credits past their life; returns how many.
    std::size_t expire(TimePoint now);

    /// Closes every open credit of an entry incarnation, or of all when 0.
    void revokeAll(Incarnation entry);

    std::size_t openCount() const { return m_open.size(); }
    const std::map<CreditId, OpenCredit> &open() const { return m_open; }

private:
    void trimSpent();

    CreditId m_lastIssued = 0;
    /// Fates of credits below this are forgotten.
    CreditId m_horizon = 0;
    std::map<CreditId, OpenCredit> m_open;
    std::map<CreditId, RequestId> m_spent;
};

} // namespace tamarack
