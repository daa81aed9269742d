#include "http/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace tamarack {

namespace {

bool sameIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name)
{
    const auto found = std::ranges::find_if(
        headers, [name](const auto &header) { return sameIgnoringCase(header.first, name); });
    if (found == headers.end())
        return std::nullopt;
    return found->second;
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string_view> HttpRequest::query(std::string_view name) const
{
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return std::nullopt;
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    }
    return std::nullopt;
}

} // namespace tamarack
