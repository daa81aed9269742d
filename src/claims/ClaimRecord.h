#pragma once

#include "base/RequestId.h"
#include "peer/Messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tamarackseam/Error.h"

namespace tamarack {

/// Unique name of one claim record.
using ClaimToken = std::uint64_t;

/// Binds an idempotency key to one request at one gate, before the request is dispatched.
struct ClaimRecord
{
    std::string workspace;
    std::string key;
    /// Digest of the request body, to detect a reused key.
    Fingerprint digest = 0;
    RequestId request;
    std::string gateName;
    Incarnation gate = 0;
    CreditId credit = 0;
    ClaimToken token = 0;
    /// Token of the claim that provably did not run and is replaced; 0 for a first claim.
    ClaimToken supersedes = 0;
    /// Wall-clock seconds, only for expiry after the retention time.
    std::int64_t createdAt = 0;

    bool operator==(const ClaimRecord &) const = default;
};

/// One object of the claim log: the records that one writer committed together.
struct ClaimBatch
{
    /// Token of the writer's attempt; settles a create whose answer was lost.
    ClaimToken writer = 0;
    std::vector<ClaimRecord> records;

    bool operator==(const ClaimBatch &) const = default;
};

/// JSON text of a batch.
std::string encodeClaimBatch(const ClaimBatch &batch);

/// Parses untrusted text; `BadRequest` for anything malformed.
Result<ClaimBatch> decodeClaimBatch(std::string_view text);

/// Shard of a key: the same on every entry.
std::size_t claimShard(std::string_view workspace, std::string_view key, std::size_t shards);

} // namespace tamarack
