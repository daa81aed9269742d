#include "config/JsonObjectReader.h"

#include <algorithm>

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarack {

std::string toString(std::span<const DocumentFault> faults)
{
    std::string text;
    for (const DocumentFault &fault : faults) {
        if (!text.empty())
            text += "; ";
        text += fault.path + ": " + fault.message;
    }
    return text;
}

JsonObjectReader::JsonObjectReader(const boost::json::value &value, std::string path,
                                   std::vector<DocumentFault> &faults)
    : m_object(value.if_object())
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!m_object)
        m_faults.push_back({m_path.empty() ? "(document)" : m_path, "must be an object"});
}

std::string JsonObjectReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void JsonObjectReader::fault(std::string_view key, std::string message)
{
    m_faults.push_back({pathOf(key), std::move(message)});
}

const boost::json::value *JsonObjectReader::find(std::string_view key)
{
    m_known.emplace(key);
    return m_object ? m_object->if_contains(key) : nullptr;
}

std::string JsonObjectReader::requiredString(std::string_view key)
{
    if (m_object && !find(key))
        fault(key, "is required");
    std::string value = optionalString(key, "");
    if (const auto *found = find(key); found && found->is_string() && value.empty())
        fault(key, "must not be empty");
    return value;
}

std::string JsonObjectReader::optionalString(std::string_view key, std::string_view fallback)
{
    const auto *value = find(key);
    if (!value)
        return std::string(fallback);
    if (!value->is_string()) {
        fault(key, "must be a string");
        return std::string(fallback);
    }
    return std::string(value->get_string());
}

std::string JsonObjectReader::choice(std::string_view key, std::string_view fallback,
                                     std::span<const std::string_view> choices)
{
    std::string value = optionalString(key, fallback);
    if (std::ranges::find(choices, value) == choices.end())
        fault(key, fmt::format("must be one of {}", fmt::join(choices, ", ")));
    return value;
}

std::optional<std::int64_t> JsonObjectReader::integerIn(std::string_view key, IntegerRange range)
{
    const auto *value = find(key);
    if (!value)
        return std::nullopt;
    if (!value->is_int64()) {
        fault(key, "must be a whole number");
        return std::nullopt;
    }
    const std::int64_t number = value->get_int64();
    if (number >= range.lowest && number <= range.highest)
        return number;
    if (range.lowest == 1 && number < 1)
        fault(key, "must be positive");
    else
        fault(key, fmt::format("must be between {} and {}", range.lowest, range.highest));
    return std::nullopt;
}

std::int64_t JsonObjectReader::integer(std::string_view key, std::int64_t fallback,
                                       IntegerRange range)
{
    return integerIn(key, range).value_or(fallback);
}

std::int64_t JsonObjectReader::requiredInteger(std::string_view key, IntegerRange range)
{
    if (m_object && !find(key))
        fault(key, "is required");
    return integer(key, range.lowest, range);
}

double JsonObjectReader::number(std::string_view key, double fallback, double lowest,
                                double highest)
{
    const auto *value = find(key);
    if (!value)
        return fallback;
    if (!value->is_number()) {
        fault(key, "must be a number");
        return fallback;
    }
    const auto number = value->to_number<double>();
    if (number >= lowest && number <= highest)
        return number;
    fault(key, fmt::format("must be between {} and {}", lowest, highest));
    return fallback;
}

bool JsonObjectReader::boolean(std::string_view key, bool fallback)
{
    const auto *value = find(key);
    if (!value)
        return fallback;
    if (!value->is_bool()) {
        fault(key, "must be true or false");
        return fallback;
    }
    return value->get_bool();
}

std::vector<std::string> JsonObjectReader::stringList(std::string_view key)
{
    std::vector<std::string> strings;
    const auto *items = array(key);
    if (!items)
        return strings;
    for (std::size_t i = 0; i < items->size(); ++i) {
        const auto *text = items->at(i).if_string();
        if (text && !text->empty())
            strings.emplace_back(*text);
        else
            fault(fmt::format("{}[{}]", key, i), "must be a non-empty string");
    }
    return strings;
}

const boost::json::value *JsonObjectReader::child(std::string_view key)
{
    return find(key);
}

const boost::json::value *JsonObjectReader::requiredChild(std::string_view key)
{
    const auto *value = find(key);
    if (m_object && !value)
        fault(key, "is required");
    return value;
}

const boost::json::array *JsonObjectReader::array(std::string_view key)
{
    const auto *value = find(key);
    if (value && !value->is_array())
        fault(key, "must be an array");
    return value ? value->if_array() : nullptr;
}

const boost::json::object *JsonObjectReader::object(std::string_view key)
{
    const auto *value = find(key);
    if (value && !value->is_object())
        fault(key, "must be an object");
    return value ? value->if_object() : nullptr;
}

void JsonObjectReader::finish()
{
    if (!m_object)
        return;
    for (const auto &member : *m_object) {
        if (!m_known.contains(std::string_view(member.key())))
            fault(std::string_view(member.key()), "is not a known key");
    }
}

} // namespace tamarack
