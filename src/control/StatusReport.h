#pragma once

#include "sched/EntryCore.h"

#include <boost/json/value.hpp>

namespace tamarack {

/// Every process that the entry knows, for `GET /admin/v1/status`.
boost::json::value statusReport(const EntryCore &core);

/// Fingerprints under suspicion and in quarantine.
boost::json::value quarantineReport(const QuarantineTable &table);

} // namespace tamarack
