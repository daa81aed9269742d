#include "http/HttpServer.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "http/HttpSession.h"
#include "process/Timers.h"

#include <optional>

#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

namespace tamarack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using tcp = asio::ip::tcp;

namespace {

constexpr int listenBacklog = 1024;
/// Accepting waits this long after it has failed, such as for want of a descriptor.
constexpr milliseconds acceptRetryDelay{20};
constexpr auto useTuple = asio::as_tuple(use_awaitable);

} // namespace

struct HttpServer::Private : std::enable_shared_from_this<HttpServer::Private>
{
    Private(std::span<asio::io_context *const> pool, HttpLimits httpLimits, HttpHandler callback,
            ListenerGuards guards)
        : contexts(pool.begin(), pool.end())
        , registry(std::make_shared<ConnectionRegistry>(httpLimits, std::move(guards)))
        , handler(std::move(callback))
        , acceptor(*contexts.front())
    {}

    Result<void> open(const ListenerSettings &listener)
    {
        beast::error_code error;
        const tcp::endpoint endpoint(asio::ip::make_address(listener.endpoint.address, error),
                                     listener.endpoint.port);
        if (!error)
            acceptor.open(endpoint.protocol(), error);
        if (!error)
            acceptor.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            acceptor.bind(endpoint, error);
        if (!error)
            acceptor.listen(listenBacklog, error);
        if (error)
            return failure(ErrorKind::IoFailed, "cannot listen on " + toString(listener.endpoint)
                                                    + ": " + error.message());
        return listener.tls ? openTls(*listener.tls) : Result<void>();
    }

    Result<void> openTls(const TlsSettings &settings)
    {
        beast::error_code error;
        tls.emplace(asio::ssl::context::tls_server);
        tls->use_certificate_chain_file(settings.certificateFile, error);
        if (!error)
            tls->use_private_key_file(settings.keyFile, asio::ssl::context::pem, error);
        if (error)
            return failure(ErrorKind::IoFailed, "cannot use certificate: " + error.message());
        return {};
    }

    asio::awaitable<void> acceptLoop()
    {
        const auto self = shared_from_this();
        while (acceptor.is_open()) {
            asio::io_context &context = *contexts[next++ % contexts.size()];
            auto [error, socket] = co_await acceptor.async_accept(context, useTuple);
            if (error == asio::error::operation_aborted || !acceptor.is_open())
                co_return;
            if (error) {
                co_await pause(acceptRetryDelay);
                continue;
            }
            if (!registry->budget() && registry->size() >= registry->limits()->connections)
                continue;
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            start(context, std::move(socket));
        }
    }

    void start(asio::io_context &context, tcp::socket socket)
    {
        if (tls)
            spawn(context, TlsStream(PlainStream(std::move(socket)), *tls));
        else
            spawn(context, PlainStream(std::move(socket)));
    }

    template <typename Stream>
    void spawn(asio::io_context &context, Stream stream)
    {
        auto session = std::make_shared<HttpSession<Stream>>(std::move(stream), registry);
        asio::co_spawn(
            context, [self = shared_from_this(), session] { return session->run(self->handler); },
            [](const std::exception_ptr &thrown) {
                if (thrown)
                    logEvent(LogLevel::Error, "http_session_failed", {});
            });
    }

    std::vector<asio::io_context *> contexts;
    std::shared_ptr<ConnectionRegistry> registry;
    HttpHandler handler;
    tcp::acceptor acceptor;
    std::optional<asio::ssl::context> tls;
    std::size_t next = 0;
};

HttpServer::HttpServer(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{}

Result<std::unique_ptr<HttpServer>>
HttpServer::makeServer(const ListenerSettings &listener, HttpLimits limits,
                       std::span<asio::io_context *const> contexts, HttpHandler handler,
                       ListenerGuards guards)
{
    auto p = std::make_shared<Private>(contexts, limits, std::move(handler), std::move(guards));
    if (auto opened = p->open(listener); !opened)
        return tl::unexpected(opened.error());
    asio::co_spawn(
        *p->contexts.front(), [p] { return p->acceptLoop(); }, asio::detached);
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(p)));
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

unsigned short HttpServer::port() const
{
    beast::error_code error;
    return m_private->acceptor.local_endpoint(error).port();
}

void HttpServer::stopAccepting()
{
    asio::post(*m_private->contexts.front(), [p = m_private] {
        beast::error_code ignored;
        p->acceptor.close(ignored);
    });
}

std::size_t HttpServer::connections() const
{
    return m_private->registry->size();
}

void HttpServer::setLimits(HttpLimits limits)
{
    m_private->registry->setLimits(limits);
}

void HttpServer::closeAfterAnswers()
{
    m_private->registry->setClosing();
}

void HttpServer::closeIdle()
{
    for (const auto &connection : m_private->registry->all())
        connection->closeIfIdle();
}

} // namespace tamarack
