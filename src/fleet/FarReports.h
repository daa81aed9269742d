#pragma once

#include "base/StorePosition.h"
#include "base/Time.h"
#include "serving/EntryLoad.h"
#include "serving/QuotaLedger.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tamarack {

/// Decides when an entry reports to the entries of other exchange groups, and what.
///
/// Answers a fleet in which reports between groups are most of all messages: what is at rest is
/// sent every few seconds only. Loads and demand stay in the group, whose upstreams the others do
/// not choose. What bounds the whole fleet is sent within a tenth of a second or two: the use of a
/// quota that may soon be exhausted, statements of upstreams, a planned stop, and the positions of
/// a store follower.
class FarReports
{
public:
    /// What makes a report urgent when it changes.
    struct Urgent
    {
        /// 0 unless this entry follows the store for others; these tell it, not all that apply it.
        std::uint64_t configVersion = 0;
        StorePosition upstreamPosition;
        std::uint64_t statements = 0;
        /// Crashes and statements of upstreams that this entry has met itself; those that it was
        /// received are reported by the entries that met them.
        std::uint64_t crashes = 0;
        bool leaving = false;

        bool operator==(const Urgent &) const = default;
    };

    /// `quotaDue`: untold use may exhaust a quota.
    bool isDue(const Urgent &state, bool quotaDue, bool hasTerms, TimePoint now) const;

    /// Reduces a report to what other groups need, and records that it is sent.
    EntryLoad makeReport(EntryLoad load, const Urgent &state, TimePoint now);

    /// Shortest time between two reports.
    static constexpr milliseconds leastInterval{200};
    /// Longest time between two reports.
    static constexpr milliseconds restInterval{4000};
    /// The same with rows about upstreams that limit themselves, whose recent sends must be known.
    static constexpr milliseconds termsInterval{800};
    /// All quotas of which anything was used are sent this often, for entries that missed a change.
    static constexpr milliseconds fullInterval{16'000};

private:
    bool m_sent = false;
    TimePoint m_sentAt{};
    TimePoint m_fullAt{};
    Urgent m_state;
    /// Uses sent in the last report and in the one before.
    std::vector<QuotaUse> m_uses;
    std::vector<QuotaUse> m_formerUses;
    std::size_t m_firstRow = 0;
};

/// Quota rows of one message: about 40 kB with names of usual length.
constexpr std::size_t mostQuotaRows = 1000;

/// Returns `all` if it fits into a message, else the next rows from `first` on, which it advances.
/// The result is sorted if `all` is.
std::vector<QuotaUse> nextQuotaRows(const std::vector<QuotaUse> &all, std::size_t &first);

/// Returns the uses of workspaces that have used anything.
std::vector<QuotaUse> usesNotAtRest(std::vector<QuotaUse> uses);

/// Report without what only this entry's own group needs: loads, demand and occupancies.
EntryLoad withoutGroupRows(EntryLoad load);

} // namespace tamarack
