#pragma once

#include "claims/ClaimShard.h"

#include <vector>

namespace tamarack {

/// The shards of the claim log as one. Pure.
class ClaimBook
{
public:
    ClaimBook(std::size_t shards, const ClaimShardOptions &options);

    void submit(ClaimRecord record, TimePoint now);
    void tick(TimePoint now, std::int64_t wallSeconds);
    std::vector<claims::Answer> takeAnswers();

    std::size_t size() const { return m_shards.size(); }
    ClaimShard &shard(std::size_t index) { return m_shards[index]; }

private:
    std::vector<ClaimShard> m_shards;
};

} // namespace tamarack
