#pragma once

#include "base/Time.h"
#include "peer/Messages.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// A credit that has been issued and not yet spent, returned, revoked or expired.
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

/// What the ledger knows about a credit. `Unknown` when its record was evicted or
/// it was never issued here.
enum class CreditFate : std::uint8_t { Unspent, Spent, Unknown };

/// Issues credits and records which of them were spent, and on which request. A credit can be spent
/// at most once; one that was closed without being spent can never be spent afterwards.
class CreditLedger
{
public:
    CreditId issue(OpenCredit credit);

    /// Removes and returns the credit if it is open, belongs to `entry` and has not expired.
    std::optional<OpenCredit> spend(CreditId id, Incarnation entry, RequestId request,
                                    TimePoint now);

    /// Closes an open credit without spending it.
    std::optional<OpenCredit> revoke(CreditId id);

    /// Reclassifies a spent credit as unspent, when its request is proved not to have started.
    void markUnspent(CreditId id) { m_spent.erase(id); }

    CreditFate fate(CreditId id) const;

    /// Closes expired credits and returns their number.
    std::size_t expire(TimePoint now);

    /// Closes every open credit of the entry incarnation, or of all entries when `entry` is 0.
    void revokeAll(Incarnation entry);

    std::size_t openCount() const { return m_open.size(); }
    const std::map<CreditId, OpenCredit> &open() const { return m_open; }

private:
    void trimSpent();

    CreditId m_lastIssued = 0;
    /// Records of spent credits up to and including this id may have been evicted.
    CreditId m_highestEvicted = 0;
    std::map<CreditId, OpenCredit> m_open;
    std::map<CreditId, RequestId> m_spent;
};

} // namespace tamarack
