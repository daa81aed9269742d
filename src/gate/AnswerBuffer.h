#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// Retransmission buffer for one response. Offsets count from the start of the response.
class AnswerBuffer
{
public:
    void append(std::string_view bytes);

    /// Discards the bytes before `offset`.
    void trim(std::uint64_t offset);

    /// Returns at most `limit` buffered bytes starting at `offset`, or std::nullopt when `offset`
    /// has been trimmed or lies beyond the end.
    std::optional<std::string_view> from(std::uint64_t offset, std::size_t limit) const;

    std::uint64_t firstOffset() const { return m_first; }
    std::uint64_t length() const { return m_first + m_bytes.size(); }
    std::size_t heldBytes() const { return m_bytes.size(); }
    /// CRC-32C of all bytes appended so far, including trimmed ones.
    std::uint32_t crc() const { return m_crc; }

private:
    std::string m_bytes;
    std::uint64_t m_first = 0;
    std::uint32_t m_crc = 0;
};

} // namespace tamarack
