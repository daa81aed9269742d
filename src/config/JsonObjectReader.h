#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

namespace tamarack {

/// One fault in a JSON document: where, and what is wrong.
struct DocumentFault
{
    std::string path;
    std::string message;

    bool operator==(const DocumentFault &) const = default;
};

/// All faults as one line, separated by "; ".
std::string toString(std::span<const DocumentFault> faults);

/// Inclusive bounds of an integer setting.
struct IntegerRange
{
    std::int64_t lowest = 0;
    std::int64_t highest = std::numeric_limits<std::int64_t>::max();
};

/// Reads one JSON object key by key and collects every fault with its path.
/// Keys that were never asked for are reported by `finish`.
class JsonObjectReader
{
public:
    /// `value` and `faults` must outlive the reader. A value that is no object is a fault.
    JsonObjectReader(const boost::json::value &value, std::string path,
                     std::vector<DocumentFault> &faults);

    std::string requiredString(std::string_view key);
    std::string optionalString(std::string_view key, std::string_view fallback);
    /// A string that must be one of `choices`.
    std::string choice(std::string_view key, std::string_view fallback,
                       std::span<const std::string_view> choices);
    std::int64_t integer(std::string_view key, std::int64_t fallback, IntegerRange range);
    std::int64_t requiredInteger(std::string_view key, IntegerRange range);
    double number(std::string_view key, double fallback, double lowest, double highest);
    bool boolean(std::string_view key, bool fallback);
    std::vector<std::string> stringList(std::string_view key);
    /// Null when the key is absent.
    const boost::json::value *child(std::string_view key);
    const boost::json::value *requiredChild(std::string_view key);
    /// Null when absent; a fault when present and not an array.
    const boost::json::array *array(std::string_view key);
    /// Null when absent; a fault when present and not an object.
    const boost::json::object *object(std::string_view key);
    std::string pathOf(std::string_view key) const;
    void fault(std::string_view key, std::string message);
    /// Reports unknown keys.
    void finish();

private:
    const boost::json::value *find(std::string_view key);
    std::optional<std::int64_t> integerIn(std::string_view key, IntegerRange range);

    const boost::json::object *m_object = nullptr;
    std::string m_path;
    std::vector<DocumentFault> &m_faults;
    std::set<std::string, std::less<>> m_known;
};

} // namespace tamarack
