#include "claims/ClaimBook.h"

#include <algorithm>

namespace tamarack {

ClaimBook::ClaimBook(std::size_t shards, const ClaimShardOptions &options)
{
    for (std::size_t shard = 0; shard < shards; ++shard) {
        ClaimShardOptions shardOptions = options;
        shardOptions.shard = shard;
        m_shards.emplace_back(shardOptions);
    }
}

void ClaimBook::submit(ClaimRecord record, TimePoint now)
{
    const auto shard = claimShard(record.workspace, record.key, m_shards.size());
    m_shards[shard].submit(std::move(record), now);
}

void ClaimBook::tick(TimePoint now, std::int64_t wallSeconds)
{
    std::ranges::for_each(m_shards, [=](ClaimShard &shard) { shard.tick(now, wallSeconds); });
}

std::vector<claims::Answer> ClaimBook::takeAnswers()
{
    std::vector<claims::Answer> all;
    for (ClaimShard &shard : m_shards)
        std::ranges::move(shard.takeAnswers(), std::back_inserter(all));
    return all;
}

} // namespace tamarack
