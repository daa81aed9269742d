#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tamarack::standin {

/// Whether the path and query of a request contain only what RFC 3986 allows in them.
bool isValidTarget(std::string_view target);

/// Decodes `%XX`; none if an escape is malformed.
std::optional<std::string> decodePathPart(std::string_view text);
/// Like `decodePathPart`; `+` stands for a space.
std::optional<std::string> decodeQueryPart(std::string_view text);

/// Replaces each byte that is not part of valid UTF-8 by U+FFFD.
std::string withReplacedBytes(std::string_view text);

} // namespace tamarack::standin
