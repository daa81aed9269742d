#include "base/MetricLabel.h"

#include "base/Utf8.h"

#include <algorithm>
#include <cstddef>

namespace tamarack {

std::string metricLabel(std::string_view name, std::string_view value)
{
    constexpr std::size_t maxValueBytes = 256;
    std::string label = std::string(name) + "=\"";
    std::size_t used = 0;
    while (used < value.size()) {
        const std::string_view rest = value.substr(used);
        const std::size_t valid = utf8CharacterBytes(rest);
        const std::string_view character = rest.substr(0, std::max<std::size_t>(valid, 1));
        used += character.size();
        if (used > maxValueBytes)
            break;
        if (valid == 0)
            label += "\ufffd";
        else if (character == "\n")
            label += "\\n";
        else if (character == "\"" || character == "\\")
            label.append("\\").append(character);
        else
            label += character;
    }
    return label + '"';
}

} // namespace tamarack
