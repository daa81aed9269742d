#pragma once

#include "fleet/EntryMessage.h"
#include "tamarackseam/Error.h"

#include <string>
#include <string_view>

namespace tamarack {

/// Encodes the message in Cap'n Proto's packed form with a tag over it that proves `key` and the
/// version of the exchange: entries of unlike versions refuse one another's messages.
std::string sealMessage(const EntryMessage &message, std::string_view key);

/// Checks the tag and decodes untrusted bytes. `PeerRejected`: the tag is wrong; `BadRequest`:
/// the bytes are malformed.
Result<EntryMessage> openMessage(std::string_view bytes, std::string_view key);

} // namespace tamarack
