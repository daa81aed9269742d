#include "http/HttpServer.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "http/HeaderCopy.h"
#include "http/SocketOptions.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
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
/// Bytes beyond the largest head that may be read without a complete element, such as the size of a
/// chunk with its extensions, or a trailer.
constexpr std::size_t unparsedBytes = 64 << 10;
constexpr auto useTuple = asio::as_tuple(use_awaitable);

using PlainStream = beast::tcp_stream;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

HttpRequest toRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = toHeaders(message);
    request.body = std::move(message.body());
    return request;
}

ErrorKind kindOfReadError(beast::error_code error)
{
    if (error == http::error::body_limit)
        return ErrorKind::PayloadTooLarge;
    if (error == http::error::header_limit)
        return ErrorKind::HeadersTooLarge;
    if (error == beast::error::timeout)
        return ErrorKind::RequestTimeout;
    return ErrorKind::BadRequest;
}

/// A connection as its server sees it.
class Connection
{
public:
    virtual ~Connection() = default;
    /// Ends the connection if it waits for a request. Thread-safe.
    virtual void closeIfIdle() = 0;
};

/// What the connections of a server share. Thread-safe.
class Registry
{
public:
    explicit Registry(const HttpLimits &limits)
        : m_limits(std::make_shared<const HttpLimits>(limits))
    {}

    std::shared_ptr<const HttpLimits> limits() const { return m_limits.load(); }
    void setLimits(const HttpLimits &limits)
    {
        m_limits = std::make_shared<const HttpLimits>(limits);
    }

    bool closing() const { return m_closing; }
    void setClosing() { m_closing = true; }

    void add(const std::shared_ptr<Connection> &connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connections[connection.get()] = connection;
    }
    void remove(Connection *connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
    }
    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size();
    }
    std::vector<std::shared_ptr<Connection>> all() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::shared_ptr<Connection>> connections;
        for (const auto &[key, weak] : m_connections)
            if (auto connection = weak.lock())
                connections.push_back(std::move(connection));
        return connections;
    }

private:
    std::atomic<std::shared_ptr<const HttpLimits>> m_limits;
    std::atomic<bool> m_closing{false};
    mutable std::mutex m_mutex;
    std::map<Connection *, std::weak_ptr<Connection>> m_connections;
};

/// One connection; runs its requests one after the other.
template <typename Stream>
class Session final : public HttpExchange,
                      public Connection,
                      public std::enable_shared_from_this<Session<Stream>>
{
public:
    Session(Stream stream, std::shared_ptr<Registry> registry)
        : m_stream(std::move(stream))
        , m_registry(std::move(registry))
    {}

    ~Session() override { m_registry->remove(this); }

    void closeIfIdle() override
    {
        asio::post(m_stream.get_executor(), [self = this->shared_from_this()] {
            if (self->m_idle)
                self->close();
        });
    }

    asio::awaitable<void> run(HttpHandler handler)
    {
        const auto self = this->shared_from_this();
        m_registry->add(self);
        if (!co_await handshake())
            co_return;
        while (co_await readRequest()) {
            m_ended = false;
            co_await handler(*this);
            m_gone = nullptr;
            if (!m_ended || !m_keepAlive || m_closed || m_registry->closing())
                break;
        }
        if (m_ended && !m_closed)
            co_await linger();
        close();
    }

    const HttpRequest &request() const override { return m_request; }
    asio::any_io_executor executor() override { return m_stream.get_executor(); }

    asio::awaitable<bool> respond(HttpResponse response) override
    {
        http::response<http::string_body> message(static_cast<http::status>(response.status),
                                                  m_version);
        for (const auto &[name, value] : response.headers)
            message.insert(name, value);
        setKeepAlive(message);
        message.body() = std::move(response.body);
        message.prepare_payload();
        armWrite();
        const auto [error, size] = co_await http::async_write(m_stream, message, useTuple);
        m_ended = !error;
        co_return !error;
    }

    asio::awaitable<bool> startStream(int status, HttpHeaders headers) override
    {
        http::response<http::empty_body> message(static_cast<http::status>(status), m_version);
        for (const auto &[name, value] : headers)
            message.insert(name, value);
        setKeepAlive(message);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        armWrite();
        const auto [error, size] =
            co_await http::async_write_header(m_stream, serializer, useTuple);
        co_return !error;
    }

    asio::awaitable<bool> write(std::string_view bytes) override
    {
        if (bytes.empty())
            co_return true;
        armWrite();
        const auto [error, size] = co_await asio::async_write(
            m_stream, http::make_chunk(asio::buffer(bytes.data(), bytes.size())), useTuple);
        co_return !error;
    }

    asio::awaitable<bool> finish() override
    {
        armWrite();
        const auto [error, size] =
            co_await asio::async_write(m_stream, http::make_chunk_last(), useTuple);
        m_ended = !error;
        co_return !error;
    }

    void closeAfterAnswer() override { m_keepAlive = false; }

    void abort() override { close(); }

    void onGone(std::function<void()> callback) override
    {
        m_gone = std::move(callback);
        watch();
    }

    bool isGone() override
    {
        m_closed = m_closed || peek() == Peeked::End;
        return m_closed;
    }

private:
    /// What the client sent next. Bytes can be a pipelined request.
    Peeked peek() { return peekSocket(beast::get_lowest_layer(m_stream).socket()); }

    asio::awaitable<bool> handshake()
    {
        if constexpr (std::is_same_v<Stream, TlsStream>) {
            arm(m_registry->limits()->readTimeoutMs);
            const auto [error] =
                co_await m_stream.async_handshake(asio::ssl::stream_base::server, useTuple);
            co_return !error;
        }
        co_return true;
    }

    template <typename Message>
    void setKeepAlive(Message &message)
    {
        m_keepAlive = m_keepAlive && !m_registry->closing();
        message.keep_alive(m_keepAlive);
    }

    asio::awaitable<bool> readRequest()
    {
        const auto limits = m_registry->limits();
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(limits->headerBytes));
        parser.body_limit(limits->bodyBytes);
        m_buffer.max_size(std::max(m_buffer.size(), limits->headerBytes + unparsedBytes));
        if (!co_await waitForRequest(*limits))
            co_return false;
        beast::error_code error = co_await readHeader(parser, *limits);
        if (!error)
            error = co_await readBody(parser, *limits);
        if (!error) {
            m_version = parser.get().version();
            m_keepAlive = parser.get().keep_alive();
            m_request = toRequest(parser.release());
            co_return true;
        }
        const bool refusable =
            error.category() == beast::error_code(http::error::bad_method).category()
            || error == beast::error::timeout;
        if (error != http::error::end_of_stream && refusable)
            co_await refuse(kindOfReadError(error), error.message());
        co_return false;
    }

    /// Waits for the first bytes of a request. False at the end of the connection.
    asio::awaitable<bool> waitForRequest(const HttpLimits &limits)
    {
        if (m_buffer.size() > 0)
            co_return true;
        constexpr std::size_t firstReadBytes = 4096;
        m_idle = true;
        arm(limits.idleTimeoutMs > 0 ? limits.idleTimeoutMs : limits.readTimeoutMs);
        const auto [error, size] =
            co_await m_stream.async_read_some(m_buffer.prepare(firstReadBytes), useTuple);
        m_idle = false;
        m_buffer.commit(size);
        co_return !error;
    }

    struct HeaderReading
    {
        bool done = false;
        bool late = false;
    };

    template <typename Parser>
    asio::awaitable<beast::error_code> readHeader(Parser &parser, const HttpLimits &limits)
    {
        // The stream's own timeout would close the socket, and the client would get no answer.
        asio::steady_timer timer(m_stream.get_executor());
        const auto reading = std::make_shared<HeaderReading>();
        timer.expires_after(std::chrono::milliseconds(
            limits.headerTimeoutMs > 0 ? limits.headerTimeoutMs : limits.readTimeoutMs));
        timer.async_wait([reading, self = this->shared_from_this()](beast::error_code cancelled) {
            if (cancelled || reading->done)
                return;
            reading->late = true;
            beast::get_lowest_layer(self->m_stream).cancel();
        });
        beast::get_lowest_layer(m_stream).expires_never();
        const auto [error, size] =
            co_await http::async_read_header(m_stream, m_buffer, parser, useTuple);
        reading->done = true;
        timer.cancel();
        if (reading->late)
            co_return beast::error_code(beast::error::timeout);
        co_return error;
    }

    template <typename Parser>
    asio::awaitable<beast::error_code> readBody(Parser &parser, const HttpLimits &limits)
    {
        if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
            armWrite();
            const auto [error, size] =
                co_await asio::async_write(m_stream, asio::buffer(interim), useTuple);
            if (error)
                co_return error;
        }
        arm(limits.readTimeoutMs);
        const auto [error, size] = co_await http::async_read(m_stream, m_buffer, parser, useTuple);
        co_return error;
    }

    asio::awaitable<void> refuse(ErrorKind kind, std::string reason)
    {
        m_keepAlive = false;
        const ErrorAnswer &answer = errorAnswer(kind);
        const boost::json::object fault{
            {"kind", answer.name}, {"message", reason}, {"request_id", ""}, {"outcome", "not-run"}};
        HttpResponse response{
            answer.httpStatus,
            {{"Content-Type", "application/json"}, {"Tamarack-Outcome", "not-run"}},
            boost::json::serialize(boost::json::object{{"error", fault}})};
        co_await respond(std::move(response));
    }

    /// Lets the client read its last answer: closing with unread bytes would reset the connection.
    asio::awaitable<void> linger()
    {
        constexpr int lingerMs = 1000;
        constexpr std::size_t drainBytes = 4096;
        beast::get_lowest_layer(m_stream).socket().shutdown(tcp::socket::shutdown_send, m_ignored);
        arm(lingerMs);
        beast::error_code error;
        while (!error) {
            m_buffer.clear();
            const auto [readError, size] =
                co_await m_stream.async_read_some(m_buffer.prepare(drainBytes), useTuple);
            error = readError;
        }
    }

    void watch()
    {
        if (std::exchange(m_watching, true))
            return;
        auto &socket = beast::get_lowest_layer(m_stream).socket();
        socket.async_wait(
            tcp::socket::wait_read,
            [self = this->shared_from_this()](beast::error_code error) { self->readable(error); });
    }

    void readable(beast::error_code error)
    {
        m_watching = false;
        if (!m_gone || error)
            return;
        const Peeked peeked = peek();
        if (peeked == Peeked::Nothing)
            watch();
        if (peeked != Peeked::End)
            return;
        m_closed = true;
        const auto callback = std::exchange(m_gone, nullptr);
        callback();
    }

    void arm(int timeoutMs)
    {
        beast::get_lowest_layer(m_stream).expires_after(std::chrono::milliseconds(timeoutMs));
    }

    void armWrite() { arm(m_registry->limits()->writeTimeoutMs); }

    void close()
    {
        m_closed = true;
        auto &socket = beast::get_lowest_layer(m_stream).socket();
        socket.shutdown(tcp::socket::shutdown_both, m_ignored);
        socket.close(m_ignored);
    }

    Stream m_stream;
    std::shared_ptr<Registry> m_registry;
    beast::flat_buffer m_buffer;
    HttpRequest m_request;
    std::function<void()> m_gone;
    beast::error_code m_ignored;
    unsigned m_version = 11;
    bool m_keepAlive = true;
    bool m_ended = false;
    bool m_closed = false;
    bool m_idle = false;
    bool m_watching = false;
};

} // namespace

struct HttpServer::Private : std::enable_shared_from_this<HttpServer::Private>
{
    Private(std::span<asio::io_context *const> pool, HttpLimits httpLimits, HttpHandler callback)
        : contexts(pool.begin(), pool.end())
        , registry(std::make_shared<Registry>(httpLimits))
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
            if (error || registry->size() >= registry->limits()->connections)
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
        auto session = std::make_shared<Session<Stream>>(std::move(stream), registry);
        asio::co_spawn(
            context, [self = shared_from_this(), session] { return session->run(self->handler); },
            [](const std::exception_ptr &thrown) {
                if (thrown)
                    logEvent(LogLevel::Error, "http_session_failed", {});
            });
    }

    std::vector<asio::io_context *> contexts;
    std::shared_ptr<Registry> registry;
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
                       std::span<asio::io_context *const> contexts, HttpHandler handler)
{
    auto p = std::make_shared<Private>(contexts, limits, std::move(handler));
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
