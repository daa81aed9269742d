#pragma once

#include "fleet/GroupDigest.h"
#include "fleet/OriginMessages.h"
#include "fleet/ProofRelay.h"
#include "serving/EntryLoad.h"

#include <variant>

namespace tamarack {

/// Messages between entries; one per datagram.
using EntryMessage = std::variant<EntryLoad, ProofRequest, ProofResponse, StreamOrigin,
                                  OriginRequest, OriginResponse, GroupDigest>;

} // namespace tamarack
