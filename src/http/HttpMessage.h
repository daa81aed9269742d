#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarack {

/// Whether HTTP defines the class of the status: 100 to 599.
constexpr bool isHttpStatus(int status)
{
    return status >= 100 && status <= 599;
}

/// Whether a final response follows.
constexpr bool isInterimStatus(int status)
{
    return status >= 100 && status < 200;
}

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Value of a header by case-insensitive name.
std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name);

/// A received request, or one to be sent.
struct HttpRequest
{
    std::string method;
    /// Path and query.
    std::string target;
    HttpHeaders headers;
    std::string body;

    std::string_view path() const;
    /// Value of a query parameter; empty optional when absent. Not percent-decoded.
    std::optional<std::string_view> query(std::string_view name) const;
};

struct HttpResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// Bounds on what a listener accepts from one connection.
struct HttpLimits
{
    std::size_t headerBytes = 16 << 10;
    std::size_t bodyBytes = 2 << 20;
    std::size_t connections = 10'000;
    /// From the first byte of a request to the end of its body.
    int readTimeoutMs = 30'000;
    /// From the first byte of a request to the end of its headers; 0: as `readTimeoutMs`.
    int headerTimeoutMs = 0;
    /// Between requests; 0: as `readTimeoutMs`.
    int idleTimeoutMs = 0;
    int writeTimeoutMs = 60'000;
};

} // namespace tamarack
