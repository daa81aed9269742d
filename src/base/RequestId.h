#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// Random identity of one run of a process.
using Incarnation = std::uint64_t;

/// Names one request of one entry incarnation. Unique over the fleet and over restarts.
struct RequestId
{
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const RequestId &) const = default;
};

/// Text form: 16 hex digits, a hyphen, 16 hex digits.
std::string toString(RequestId id);

/// Parses the text form; empty for anything else.
std::optional<RequestId> parseRequestId(std::string_view text);

/// Parses exactly 16 hex digits; empty for anything else.
std::optional<std::uint64_t> parseHex64(std::string_view text);

/// 16 lower-case hex digits.
std::string hex64(std::uint64_t value);

} // namespace tamarack

template <>
struct std::hash<tamarack::RequestId>
{
    std::size_t operator()(const tamarack::RequestId &id) const noexcept
    {
        return id.incarnation ^ (id.sequence * 0x9E3779B97F4A7C15ULL);
    }
};
