#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// Bytes of one answer that may have to be sent again. Offsets count from the answer's start.
class AnswerBuffer
{
public:
    void append(std::string_view bytes);

    /// Drops everything before `offset`.
    void trim(std::uint64_t offset);

    /// The held bytes from `offset` on, at most `limit`; empty optional if already dropped.
    std::optional<std::string_view> from(std::uint64_t offset, std::size_t limit) const;

    std::uint64_t firstOffset() const { return m_first; }
    std::uint64_t length() const { return m_first + m_bytes.size(); }
    std::size_t heldBytes() const { return m_bytes.size(); }
    /// Checksum of the whole answer so far.
    std::uint32_t crc() const { return m_crc; }

private:
    std::string m_bytes;
    std::uint64_t m_first = 0;
    std::uint32_t m_crc = 0;
};

} // namespace tamarack
