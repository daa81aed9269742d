#pragma once

#include "peer/Messages.h"
#include "store/ObjectStore.h"
#include "tamarackseam/Error.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

std::string encodeFingerprintReports(const std::vector<FingerprintReport> &reports);
Result<std::vector<FingerprintReport>> decodeFingerprintReports(std::string_view text);

/// Merges `known` into the stored quarantine and returns all rows stored. Rows only accumulate,
/// so a lost race or a lost answer is settled by merging again.
boost::asio::awaitable<Result<std::vector<FingerprintReport>>>
syncQuarantine(ObjectStore &store, std::vector<FingerprintReport> known);

} // namespace tamarack
