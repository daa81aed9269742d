#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::standin {

/// Versioned objects with conditional writes; what the object API stand-in holds.
class ObjectTable
{
public:
    struct Object
    {
        std::string key;
        std::string value;
        std::uint64_t version = 0;
    };

    enum class Condition : std::uint8_t { None, Absent, Version };

    /// The new version; empty when the condition does not hold.
    std::optional<std::uint64_t> put(std::string_view key, std::string_view value,
                                     Condition condition, std::uint64_t version);
    bool remove(std::string_view key);
    std::optional<Object> find(std::string_view key) const;
    std::vector<Object> list(std::string_view prefix, std::string_view after,
                             std::size_t limit) const;
    std::uint64_t lastVersion() const { return m_lastVersion; }

private:
    std::map<std::string, Object, std::less<>> m_objects;
    std::uint64_t m_lastVersion = 0;
};

} // namespace tamarack::standin
