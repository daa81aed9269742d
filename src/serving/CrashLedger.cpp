#include "serving/CrashLedger.h"

#include <algorithm>

namespace tamarack {

bool CrashLedger::add(CrashRow row, TimePoint now)
{
    const bool isNew = m_rows.try_emplace(row, now).second;
    if (isNew)
        updateQuarantines();
    return isNew;
}

void CrashLedger::merge(const ReportedCrash &reported, TimePoint now)
{
    if (reported.age < retention)
        add(reported.row, now - reported.age);
}

bool CrashLedger::isQuarantined(RequestFingerprint fingerprint, TimePoint now) const
{
    std::size_t crashes = 0;
    const auto first = m_rows.lower_bound({fingerprint, 0});
    for (auto it = first; it != m_rows.end() && it->first.fingerprint == fingerprint; ++it)
        if (now - it->second < retention)
            ++crashes;
    return crashes >= crashesToQuarantine;
}

std::vector<ReportedCrash> CrashLedger::rows(std::size_t most, TimePoint now) const
{
    std::vector<std::pair<TimePoint, CrashRow>> byAge;
    byAge.reserve(m_rows.size());
    for (const auto &[row, at] : m_rows)
        byAge.emplace_back(at, row);
    std::ranges::sort(byAge, std::greater());
    byAge.resize(std::min(most, byAge.size()));
    std::vector<ReportedCrash> rows;
    std::ranges::transform(byAge, std::back_inserter(rows), [now](const auto &item) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - item.first);
        return ReportedCrash{item.second, age};
    });
    return rows;
}

void CrashLedger::removeExpired(TimePoint now)
{
    const auto isOld = [now](const auto &item) { return now - item.second >= retention; };
    if (std::erase_if(m_rows, isOld) > 0)
        updateQuarantines();
}

void CrashLedger::updateQuarantines()
{
    std::size_t crashes = 0;
    RequestFingerprint last = 0;
    m_quarantinesAny = false;
    for (const auto &[row, at] : m_rows) {
        crashes = row.fingerprint == last ? crashes + 1 : 1;
        last = row.fingerprint;
        m_quarantinesAny = m_quarantinesAny || crashes >= crashesToQuarantine;
    }
}

} // namespace tamarack
