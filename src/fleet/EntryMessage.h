#pragma once

#include "fleet/ProofRelay.h"
#include "serving/EntryLoad.h"

#include <variant>

namespace tamarack {

/// What entries send one another, one message a datagram.
using EntryMessage = std::variant<EntryLoad, StoreAsk, StoreAnswer>;

} // namespace tamarack
