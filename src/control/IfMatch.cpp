#include "control/IfMatch.h"

#include <charconv>

namespace tamarack {

Result<std::optional<Generation>> parseIfMatch(const HttpRequest &request)
{
    const auto text = findHeader(request.headers, "If-Match");
    if (!text)
        return std::optional<Generation>();
    std::string_view digits = *text;
    if (digits.size() >= 2 && digits.front() == '"' && digits.back() == '"')
        digits = digits.substr(1, digits.size() - 2);
    Generation generation = 0;
    const char *end = digits.data() + digits.size();
    const auto [rest, error] = std::from_chars(digits.data(), end, generation);
    if (error != std::errc() || rest != end)
        return failure(ErrorKind::VersionConflict,
                       "If-Match is no generation of the configuration: " + std::string(*text));
    return std::optional<Generation>(generation);
}

} // namespace tamarack
