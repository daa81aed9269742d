#pragma once

#include <cstddef>
#include <string_view>

namespace tamarack {

/// Bytes of the UTF-8 character at the start of `text`, 1 to 4. 0 when `text` is empty or starts
/// with none: a stray or missing continuation byte, an overlong form, a surrogate, or a code point
/// above U+10FFFF (Unicode, table 3-7).
std::size_t utf8CharacterBytes(std::string_view text);

bool isUtf8(std::string_view text);

} // namespace tamarack
