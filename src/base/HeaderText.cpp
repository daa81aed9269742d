#include "base/HeaderText.h"

#include "base/Utf8.h"

#include <algorithm>
#include <cstddef>

namespace tamarack {

bool isHeaderValue(std::string_view text)
{
    /// Servers commonly accept heads of 8 KiB, most of which the client's headers need.
    constexpr std::size_t maxBytes = 1024;
    const auto isBlank = [](char c) { return c == ' ' || c == '\t'; };
    const auto isCarried = [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= 0x20 && byte != 0x7f);
    };
    return !text.empty() && text.size() <= maxBytes && !isBlank(text.front())
           && !isBlank(text.back()) && std::ranges::all_of(text, isCarried) && isUtf8(text);
}

} // namespace tamarack
