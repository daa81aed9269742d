#pragma once

#include "peer/Messages.h"

#include <string>
#include <string_view>

#include "tamarackseam/Error.h"

namespace tamarack {

/// Encodes one message in Cap'n Proto's packed form.
std::string encodePeerMessage(const PeerMessage &message);

/// Decodes untrusted bytes. Any malformed input gives `BadRequest`.
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace tamarack
