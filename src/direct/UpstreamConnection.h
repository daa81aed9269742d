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

/// Status and headers of an upstream's answer.
struct UpstreamHead
{
    int status = 0;
    HttpHeaders headers;
};

/// One connection to an upstream, which serves one request at a time. Used on one executor.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    /// `UpstreamRefused`: no connection was made.
    static boost::asio::awaitable<Result<std::shared_ptr<UpstreamConnection>>>
    makeConnection(boost::asio::any_io_executor executor, Endpoint endpoint);

    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    /// Starts to send; the upstream may answer before it has read the whole request.
    void send(HttpRequest request);
    /// The head of the next answer. Interim answers are skipped.
    boost::asio::awaitable<Result<UpstreamHead>> readHead();
    /// The next bytes of the body, valid until the next call; empty at its regular end.
    boost::asio::awaitable<Result<std::string_view>> readBody();

    /// Whether the answer was whole and the connection can serve another request.
    bool reusable() const;
    /// Whether the upstream has closed the idle connection or sent something unasked.
    bool stale();
    /// Ends the connection; a pending read fails.
    void close();

    TimePoint idleUntil{};

private:
    struct Private;
    explicit UpstreamConnection(std::unique_ptr<Private> p);
    std::unique_ptr<Private> m_private;
};

} // namespace tamarack
