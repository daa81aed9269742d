#pragma once

#include "claims/ClaimRecord.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// The claims of one shard as its log says: the first record of a key holds it until a record
/// supersedes it by naming its token. Every reader of the same log builds the same table.
class ClaimTable
{
public:
    /// True when the record now holds its key.
    bool apply(const ClaimRecord &record);

    std::optional<ClaimRecord> holder(std::string_view workspace, std::string_view key) const;

    /// Drops claims created before the time, in wall-clock seconds.
    std::size_t expire(std::int64_t createdBefore);

    std::vector<ClaimRecord> records() const;
    std::size_t size() const { return m_holders.size(); }
    void clear() { m_holders.clear(); }

private:
    using Key = std::pair<std::string, std::string>;

    std::map<Key, ClaimRecord> m_holders;
};

} // namespace tamarack
