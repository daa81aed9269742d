#include "model/UriText.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>

namespace tamarack::standin {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdefABCDEF";
constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
/// Other characters that a path or a query may contain as they are.
constexpr std::string_view others = "0123456789-._~!$&'()*+,;=:@/?";
constexpr std::size_t escapeLength = 3;
constexpr int hexadecimal = 16;

bool isEscape(std::string_view text)
{
    return text.size() >= escapeLength && text[0] == '%'
           && text.substr(1, 2).find_first_not_of(hexDigits) == std::string_view::npos;
}

/// Number of bytes of the character that the text begins with; 0 if they are not valid UTF-8.
std::size_t characterLength(std::string_view text)
{
    struct Form
    {
        unsigned char lowest, highest, lowestSecond, highestSecond;
        std::size_t length;
    };
    constexpr std::array<Form, 8> forms{{{0xC2, 0xDF, 0x80, 0xBF, 2},
                                         {0xE0, 0xE0, 0xA0, 0xBF, 3},
                                         {0xE1, 0xEC, 0x80, 0xBF, 3},
                                         {0xED, 0xED, 0x80, 0x9F, 3},
                                         {0xEE, 0xEF, 0x80, 0xBF, 3},
                                         {0xF0, 0xF0, 0x90, 0xBF, 4},
                                         {0xF1, 0xF3, 0x80, 0xBF, 4},
                                         {0xF4, 0xF4, 0x80, 0x8F, 4}}};
    const auto byte = [text](std::size_t at) { return static_cast<unsigned char>(text[at]); };
    if (byte(0) < 0x80)
        return 1;
    const auto form = std::ranges::find_if(
        forms, [&](const Form &f) { return byte(0) >= f.lowest && byte(0) <= f.highest; });
    if (form == forms.end() || text.size() < form->length || byte(1) < form->lowestSecond
        || byte(1) > form->highestSecond)
        return 0;
    const auto isContinuation = [](char c) {
        return (static_cast<unsigned char>(c) & 0xC0) == 0x80;
    };
    return std::ranges::all_of(text.substr(2, form->length - 2), isContinuation) ? form->length : 0;
}

} // namespace

bool isValidTarget(std::string_view target)
{
    while (!target.empty()) {
        const bool escape = isEscape(target);
        const bool plain = letters.find(target[0]) != std::string_view::npos
                           || others.find(target[0]) != std::string_view::npos;
        if (!escape && !plain)
            return false;
        target.remove_prefix(escape ? escapeLength : 1);
    }
    return true;
}

std::optional<std::string> decodePathPart(std::string_view text)
{
    std::string decoded;
    while (!text.empty()) {
        if (text[0] == '%' && !isEscape(text))
            return std::nullopt;
        const bool escape = text[0] == '%';
        unsigned int byte = static_cast<unsigned char>(text[0]);
        if (escape)
            std::from_chars(text.data() + 1, text.data() + escapeLength, byte, hexadecimal);
        decoded += static_cast<char>(byte);
        text.remove_prefix(escape ? escapeLength : 1);
    }
    return decoded;
}

std::optional<std::string> decodeQueryPart(std::string_view text)
{
    std::string spaced(text);
    std::ranges::replace(spaced, '+', ' ');
    return decodePathPart(spaced);
}

std::string withReplacedBytes(std::string_view text)
{
    std::string valid;
    while (!text.empty()) {
        const std::size_t length = characterLength(text);
        valid += length == 0 ? std::string_view("\xEF\xBF\xBD") : text.substr(0, length);
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return valid;
}

} // namespace tamarack::standin
