#pragma once

#include "config/Settings.h"
#include "http/HttpMessage.h"
#include "http/ListenerGuards.h"
#include "tamarackseam/Error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace tamarack {

/// One request on one connection. Valid until its handler returns; used on its executor only.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    virtual boost::asio::any_io_executor executor() = 0;

    /// Sends a whole answer. False when the caller is gone.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;
    /// Starts a chunked answer; follow with `write` and `finish`.
    virtual boost::asio::awaitable<bool> startStream(int status, HttpHeaders headers) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
    virtual boost::asio::awaitable<bool> finish() = 0;
    /// The next answer announces that the connection ends with it.
    virtual void closeAfterAnswer() = 0;
    /// Closes the connection without ending the answer, so that it cannot pass for complete.
    virtual void abort() = 0;
    /// Calls `callback` once if the caller closes its connection before the answer has ended.
    virtual void onGone(std::function<void()> callback) = 0;
    /// Whether the caller has closed its connection, as far as the system knows now. Costs a
    /// system call; meant for a request that may have lain unread while the process was busy.
    virtual bool isGone() = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

/// An HTTP/1.1 listener over plain TCP or TLS. Connections are spread over the contexts.
class HttpServer
{
public:
    /// Binds at once; fails when the address is taken or a certificate is unreadable.
    static Result<std::unique_ptr<HttpServer>>
    makeServer(const ListenerSettings &listener, HttpLimits limits,
               std::span<boost::asio::io_context *const> contexts, HttpHandler handler,
               ListenerGuards guards = {});

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    unsigned short port() const;
    /// Accepts no more connections; running exchanges go on.
    void stopAccepting();
    std::size_t connections() const;

    /// Holds for connections from now on and for the next request of open ones.
    void setLimits(HttpLimits limits);
    /// Announces with each answer that its connection ends.
    void closeAfterAnswers();
    /// Ends the connections that wait for a request.
    void closeIdle();

private:
    struct Private;
    explicit HttpServer(std::shared_ptr<Private> p);
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
