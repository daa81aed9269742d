#include "gate/AnswerBuffer.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack {

void AnswerBuffer::append(std::string_view bytes)
{
    m_crc = crc32c(m_crc, bytes);
    m_bytes += bytes;
}

void AnswerBuffer::trim(std::uint64_t offset)
{
    const std::uint64_t end = std::min(offset, length());
    if (end <= m_first)
        return;
    m_bytes.erase(0, end - m_first);
    m_first = end;
}

std::optional<std::string_view> AnswerBuffer::from(std::uint64_t offset, std::size_t limit) const
{
    if (offset < m_first || offset > length())
        return std::nullopt;
    return std::string_view(m_bytes).substr(offset - m_first, limit);
}

} // namespace tamarack
