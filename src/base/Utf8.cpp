#include "base/Utf8.h"

#include <algorithm>

namespace tamarack {

namespace {

struct Lead
{
    std::size_t bytes = 0;
    /// Bounds of the second byte; further ones are 0x80 to 0xbf.
    unsigned char lowest = 0x80;
    unsigned char highest = 0xbf;
};

Lead leadOf(unsigned char byte)
{
    if (byte < 0x80)
        return {1};
    if (byte < 0xc2 || byte > 0xf4)
        return {};
    if (byte < 0xe0)
        return {2};
    if (byte < 0xf0)
        return {3, static_cast<unsigned char>(byte == 0xe0 ? 0xa0 : 0x80),
                static_cast<unsigned char>(byte == 0xed ? 0x9f : 0xbf)};
    return {4, static_cast<unsigned char>(byte == 0xf0 ? 0x90 : 0x80),
            static_cast<unsigned char>(byte == 0xf4 ? 0x8f : 0xbf)};
}

} // namespace

std::size_t utf8CharacterBytes(std::string_view text)
{
    const Lead lead = text.empty() ? Lead() : leadOf(static_cast<unsigned char>(text.front()));
    if (lead.bytes <= 1 || text.size() < lead.bytes)
        return lead.bytes == 1 ? 1 : 0;
    const auto second = static_cast<unsigned char>(text[1]);
    const auto isContinuation = [](char c) {
        return (static_cast<unsigned char>(c) & 0xc0U) == 0x80U;
    };
    const bool whole = second >= lead.lowest && second <= lead.highest
                       && std::ranges::all_of(text.substr(2, lead.bytes - 2), isContinuation);
    return whole ? lead.bytes : 0;
}

bool isUtf8(std::string_view text)
{
    while (const std::size_t bytes = utf8CharacterBytes(text))
        text.remove_prefix(bytes);
    return text.empty();
}

} // namespace tamarack
