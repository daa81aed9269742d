#pragma once

#include "base/Time.h"
#include "config/Settings.h"
#include "http/HttpMessage.h"
#include "tamarackseam/Error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace tamarack {

/// Calls HTTP servers over kept connections. Belongs to one executor.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::any_io_executor executor);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// One whole call. `UpstreamRefused`: the connection was not made, so nothing was sent.
    /// `Timeout`, `IoFailed` and `PayloadTooLarge` (the answer is): the server may have acted.
    boost::asio::awaitable<Result<HttpResponse>> call(Endpoint server, HttpRequest request,
                                                      Duration timeout);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// One call whose answer is read piece by piece, on its own connection.
class HttpStream
{
public:
    explicit HttpStream(boost::asio::any_io_executor executor);
    ~HttpStream();
    HttpStream(const HttpStream &) = delete;
    HttpStream &operator=(const HttpStream &) = delete;

    /// Sends the request and reads the status and headers. Errors as for `HttpClient::call`.
    boost::asio::awaitable<Result<HttpResponse>> open(Endpoint server, HttpRequest request,
                                                      Duration connectTimeout, Duration timeout);
    /// The next bytes; empty optional at the regular end of the answer.
    boost::asio::awaitable<Result<std::optional<std::string>>> read(Duration timeout);
    /// Ends the connection; a pending read fails. Call on the executor.
    void close();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace tamarack
