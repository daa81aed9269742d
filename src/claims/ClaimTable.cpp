#include "claims/ClaimTable.h"

#include <algorithm>

namespace tamarack {

bool ClaimTable::apply(const ClaimRecord &record)
{
    const auto [found, inserted] = m_holders.try_emplace({record.workspace, record.key}, record);
    if (inserted || found->second.token == record.token)
        return true;
    if (found->second.token != record.supersedes)
        return false;
    found->second = record;
    return true;
}

std::optional<ClaimRecord> ClaimTable::holder(std::string_view workspace,
                                              std::string_view key) const
{
    const auto found = m_holders.find({std::string(workspace), std::string(key)});
    if (found == m_holders.end())
        return std::nullopt;
    return found->second;
}

std::size_t ClaimTable::expire(std::int64_t createdBefore)
{
    return std::erase_if(m_holders, [createdBefore](const auto &row) {
        return row.second.createdAt < createdBefore;
    });
}

std::vector<ClaimRecord> ClaimTable::records() const
{
    std::vector<ClaimRecord> all;
    std::ranges::transform(m_holders, std::back_inserter(all),
                           [](const auto &row) { return row.second; });
    return all;
}

} // namespace tamarack
