#pragma once

#include "config/FleetConfig.h"
#include "http/HttpMessage.h"
#include "tamarackseam/Error.h"

#include <optional>

namespace tamarack {

/// The generation that an operator's change is based on; empty without `If-Match`. A text that is
/// no generation matches none: `VersionConflict`.
Result<std::optional<Generation>> parseIfMatch(const HttpRequest &request);

} // namespace tamarack
