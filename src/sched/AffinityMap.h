#pragma once

#include "base/RequestId.h"

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tamarack {

/// Maps the hash of a prompt prefix to the upstream that last ran a prompt with this prefix. Evicts
/// the least recently recorded prefixes.
class AffinityMap
{
public:
    explicit AffinityMap(std::size_t capacity)
        : m_capacity(capacity)
    {}

    void record(std::uint64_t prefix, std::string_view upstream);
    bool matches(std::uint64_t prefix, std::string_view upstream) const;

private:
    struct Entry
    {
        std::uint64_t prefix = 0;
        std::string upstream;
    };

    std::size_t m_capacity;
    std::list<Entry> m_recent;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_index;
};

} // namespace tamarack
