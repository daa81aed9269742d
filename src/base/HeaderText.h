#pragma once

#include <string_view>

namespace tamarack {

/// Whether a header can carry `text`, so that its reader sees the same bytes: not empty, at most
/// 1,024 bytes of UTF-8, no control character but inner tabs, no blank at either end (RFC 9110,
/// section 5.5).
bool isHeaderValue(std::string_view text);

} // namespace tamarack
