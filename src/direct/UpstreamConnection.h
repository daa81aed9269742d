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
#include <string_view>

namespace tamarack {

/// Status and headers of an upstream's response.
struct UpstreamHead
{
    int status = 0;
    HttpHeaders headers;
};

/// One HTTP/1.1 connection to an upstream, serving one request at a time. Not thread-safe; use on
/// one executor only.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    /// Connects to the upstream; fails with `UpstreamRefused` when no connection was established.
    static boost::asio::awaitable<Result<std::shared_ptr<UpstreamConnection>>>
    makeConnection(boost::asio::any_io_executor executor, Endpoint endpoint);

    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    /// Starts sending the request. Does not wait for completion, because the upstream may respond
    /// before it has read the whole request.
    void send(HttpRequest request);
    /// Reads the head of the next response, skipping interim (1xx) responses. Fails with
    /// `UpstreamFailed` if the status is none of HTTP.
    boost::asio::awaitable<Result<UpstreamHead>> readHead();
    /// Reads the next bytes of the body, valid until the next call; empty at the regular end of the
    /// body. Only the end of the connection ends a response without a length: it is no regular end
    /// unless the whole request has arrived by then.
    boost::asio::awaitable<Result<std::string_view>> readBody();

    /// Whether only the end of the connection ends the current response.
    bool endsWithConnection() const;
    /// Whether the response was complete and the connection can serve another request.
    bool reusable() const;
    /// Whether the upstream has closed the idle connection or sent unsolicited bytes on it.
    bool stale();
    /// Closes the connection; a pending read fails.
    void close();

    TimePoint idleUntil{};

private:
    struct Private;
    explicit UpstreamConnection(std::unique_ptr<Private> p);
    std::unique_ptr<Private> m_private;
};

} // namespace tamarack
