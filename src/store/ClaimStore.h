#pragma once

#include "claims/ClaimShard.h"
#include "store/ObjectStore.h"

namespace tamarack {

/// Makes one call of a claim shard at the object API.
boost::asio::awaitable<ClaimCallResult> makeClaimCall(ObjectStore &store, ClaimCall call);

} // namespace tamarack
