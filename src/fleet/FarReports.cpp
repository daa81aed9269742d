#include "fleet/FarReports.h"

#include <algorithm>
#include <utility>

namespace tamarack {

bool FarReports::isDue(const Urgent &state, bool quotaDue, bool hasTerms, TimePoint now) const
{
    if (!m_sent)
        return true;
    const Duration age = now - m_sentAt;
    if (age < leastInterval)
        return false;
    return quotaDue || state != m_state || age >= (hasTerms ? termsInterval : restInterval);
}

EntryLoad FarReports::makeReport(EntryLoad load, const Urgent &state, TimePoint now)
{
    load = withoutGroupRows(std::move(load));
    std::vector<QuotaUse> all = load.quotas;
    if (!m_sent || now - m_fullAt >= fullInterval) {
        m_fullAt = now;
        if (m_sent)
            load.quotas = usesNotAtRest(std::move(load.quotas));
    } else {
        // Each change is sent twice, in case one message is lost.
        load.quotas = changedUses(m_formerUses, all);
    }
    load.quotas = nextQuotaRows(load.quotas, m_firstRow);
    m_formerUses = std::exchange(m_uses, std::move(all));
    m_sent = true;
    m_sentAt = now;
    m_state = state;
    return load;
}

std::vector<QuotaUse> nextQuotaRows(const std::vector<QuotaUse> &all, std::size_t &first)
{
    if (all.size() <= mostQuotaRows)
        return all;
    if (first >= all.size())
        first = 0;
    const std::size_t count = std::min(mostQuotaRows, all.size() - first);
    const auto begin = all.begin() + static_cast<std::ptrdiff_t>(first);
    first += count;
    return {begin, begin + static_cast<std::ptrdiff_t>(count)};
}

std::vector<QuotaUse> usesNotAtRest(std::vector<QuotaUse> uses)
{
    std::erase_if(uses, [](const QuotaUse &use) { return use.sent == 0 && use.pending == 0; });
    return uses;
}

EntryLoad withoutGroupRows(EntryLoad load)
{
    load.loads.clear();
    load.demand.clear();
    load.occupancies.clear();
    return load;
}

} // namespace tamarack
