#pragma once

#include "serving/EntryLoad.h"
#include "tamarackseam/Error.h"

#include <string>
#include <string_view>

namespace tamarack {

/// Encodes the message in Cap'n Proto's packed form with a tag over it that proves `key`.
std::string sealEntryLoad(const EntryLoad &load, std::string_view key);

/// Checks the tag and decodes untrusted bytes. `PeerRejected`: the tag is wrong; `BadRequest`:
/// the bytes are malformed.
Result<EntryLoad> openEntryLoad(std::string_view bytes, std::string_view key);

} // namespace tamarack
