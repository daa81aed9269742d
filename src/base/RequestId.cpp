#include "base/RequestId.h"

#include <charconv>

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace {

constexpr std::size_t hexDigits = 16;

} // namespace

std::string hex64(std::uint64_t value)
{
    return fmt::format("{:016x}", value);
}

std::optional<std::uint64_t> parseHex64(std::string_view text)
{
    if (text.size() != hexDigits)
        return std::nullopt;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string toString(RequestId id)
{
    return hex64(id.incarnation) + "-" + hex64(id.sequence);
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    if (text.size() != 2 * hexDigits + 1 || text[hexDigits] != '-')
        return std::nullopt;
    const auto incarnation = parseHex64(text.substr(0, hexDigits));
    const auto sequence = parseHex64(text.substr(hexDigits + 1));
    if (!incarnation || !sequence)
        return std::nullopt;
    return RequestId{*incarnation, *sequence};
}

} // namespace tamarack
