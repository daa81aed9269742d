#pragma once

#include "base/AsioPch.h"
#include "base/ConnectionBudget.h"
#include "http/ConnectionRegistry.h"
#include "http/HttpServer.h"
#include "http/RequestReading.h"
#include "http/SocketOptions.h"
#include "process/Timers.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

namespace tamarack {

using PlainStream = boost::beast::tcp_stream;
using TlsStream = boost::beast::ssl_stream<boost::beast::tcp_stream>;

/// One client connection; runs its requests one after the other.
template <typename Stream>
class HttpSession final : public HttpExchange,
                          public ServerConnection,
                          public std::enable_shared_from_this<HttpSession<Stream>>
{
    template <typename T>
    using Awaitable = boost::asio::awaitable<T>;
    using ErrorCode = boost::beast::error_code;
    using Socket = boost::asio::ip::tcp::socket;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Phase = ConnectionBudget::Phase;

public:
    HttpSession(Stream stream, std::shared_ptr<ConnectionRegistry> registry)
        : m_stream(std::move(stream))
        , m_registry(std::move(registry))
    {}

    ~HttpSession() override { m_registry->remove(this); }

    void closeIfIdle() override
    {
        boost::asio::post(m_stream.get_executor(), [self = this->shared_from_this()] {
            if (self->m_idle)
                self->close();
        });
    }

    Awaitable<void> run(HttpHandler handler)
    {
        const auto self = this->shared_from_this();
        m_registry->add(self);
        if (!join())
            co_return;
        if (!co_await handshake())
            co_return;
        while (co_await readRequest()) {
            m_ended = false;
            co_await handler(*this);
            m_gone = nullptr;
            releaseRequest();
            if (!m_ended || !m_keepAlive || m_closed || m_registry->closing())
                break;
        }
        if (m_ended && !m_closed)
            co_await linger();
        close();
    }

    const HttpRequest &request() const override { return m_request; }
    boost::asio::any_io_executor executor() override { return m_stream.get_executor(); }

    Awaitable<bool> respond(HttpResponse response) override
    {
        namespace http = boost::beast::http;
        http::response<http::string_body> message(static_cast<http::status>(response.status),
                                                  m_version);
        for (const auto &[name, value] : response.headers)
            message.insert(name, value);
        setKeepAlive(message);
        message.body() = std::move(response.body);
        message.prepare_payload();
        beginWrite();
        holdAnswer(message.body().size());
        const auto [error, size] = co_await http::async_write(m_stream, message, useTuple);
        endWrite();
        m_ended = !error;
        co_return !error;
    }

    Awaitable<bool> startStream(int status, HttpHeaders headers) override
    {
        namespace http = boost::beast::http;
        http::response<http::empty_body> message(static_cast<http::status>(status), m_version);
        for (const auto &[name, value] : headers)
            message.insert(name, value);
        setKeepAlive(message);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        beginWrite();
        const auto [error, size] =
            co_await http::async_write_header(m_stream, serializer, useTuple);
        endWrite();
        co_return !error;
    }

    Awaitable<bool> write(std::string_view bytes) override
    {
        if (bytes.empty())
            co_return true;
        beginWrite();
        const auto [error, size] = co_await boost::asio::async_write(
            m_stream,
            boost::beast::http::make_chunk(boost::asio::buffer(bytes.data(), bytes.size())),
            useTuple);
        endWrite();
        co_return !error;
    }

    Awaitable<bool> finish() override
    {
        beginWrite();
        const auto [error, size] = co_await boost::asio::async_write(
            m_stream, boost::beast::http::make_chunk_last(), useTuple);
        endWrite();
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
    static constexpr auto useTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    /// Bytes beyond the largest head that may be read without a complete element, such as the size
    /// of a chunk with its extensions, or a trailer.
    static constexpr std::size_t unparsedBytes = 64 << 10;
    /// A request or an answer up to this size is part of what each connection holds.
    static constexpr std::size_t freeBytes = 4 << 10;
    /// Memory of one header field besides its text.
    static constexpr std::size_t fieldBytes = 160;

    /// What the client sent next. Bytes can be a pipelined request.
    Peeked peek() { return peekSocket(socket()); }

    Socket &socket() { return boost::beast::get_lowest_layer(m_stream).socket(); }

    /// Whether the connection may stay. If the process has a budget, it counts from now on.
    bool join()
    {
        if (!m_registry->budget())
            return true;
        ErrorCode error;
        const auto client = socket().remote_endpoint(error);
        auto evict = [weak = this->weak_from_this(), executor = m_stream.get_executor()] {
            boost::asio::post(executor, [weak] {
                if (const auto self = weak.lock())
                    self->leave();
            });
        };
        m_share.emplace(*m_registry->budget(), client.address().to_string(), steadyNow(),
                        std::move(evict));
        return m_share->isAdmitted();
    }

    /// Ends the connection for the budget.
    void leave()
    {
        switch (m_phase) {
        case Phase::Idle:
            if (m_idle && peek() == Peeked::Bytes)
                m_share->readmit();
            else
                close();
            break;
        case Phase::Sending:
            close();
            break;
        case Phase::Receiving:
            m_evicted = true;
            boost::beast::get_lowest_layer(m_stream).cancel();
            break;
        case Phase::Serving:
            m_share->readmit();
            break;
        }
    }

    void enter(Phase phase)
    {
        m_phase = phase;
        if (m_share)
            m_share->enter(phase, steadyNow());
    }

    void beginWrite()
    {
        arm(m_registry->limits()->writeTimeoutMs);
        enter(Phase::Sending);
    }

    void endWrite() { serve(); }

    void serve()
    {
        m_phase = Phase::Serving;
        if (m_share)
            m_share->serve();
    }

    void holdAnswer(std::size_t bytes)
    {
        if (!m_share || bytes <= freeBytes)
            return;
        m_held += bytes;
        m_share->hold(m_held, steadyNow());
    }

    /// Whether the connection may hold so much besides what each connection holds.
    bool tryHold(std::size_t bytes)
    {
        if (!m_share || bytes <= std::max(freeBytes, m_held))
            return true;
        m_held = bytes;
        return m_share->tryHold(bytes, steadyNow());
    }

    /// Requests that wait for an upstream hold no memory to read with.
    void releaseBuffer()
    {
        const std::size_t unused = m_buffer.capacity();
        if (m_buffer.size() > 0 || unused <= freeBytes)
            return;
        m_buffer.shrink_to_fit();
        if (!m_share || m_held == 0)
            return;
        m_held -= std::min(m_held, unused);
        m_share->hold(m_held, steadyNow());
    }

    void releaseRequest()
    {
        m_request = {};
        if (m_buffer.size() == 0 && m_buffer.capacity() > freeBytes)
            m_buffer.shrink_to_fit();
        if (m_share && m_held > 0)
            m_share->hold(0, steadyNow());
        m_held = 0;
    }

    Awaitable<bool> handshake()
    {
        if constexpr (std::is_same_v<Stream, TlsStream>) {
            arm(m_registry->limits()->readTimeoutMs);
            const auto [error] =
                co_await m_stream.async_handshake(boost::asio::ssl::stream_base::server, useTuple);
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

    Awaitable<bool> readRequest()
    {
        const auto limits = m_registry->limits();
        std::optional<Parser> parser(std::in_place);
        parser->header_limit(static_cast<std::uint32_t>(limits->headerBytes));
        parser->body_limit(limits->bodyBytes);
        m_buffer.max_size(std::max(m_buffer.size(), limits->headerBytes + unparsedBytes));
        if (!co_await waitForRequest(*limits))
            co_return false;
        enter(Phase::Receiving);
        m_headBytes = 0;
        ErrorCode error = co_await readHeader(*parser, *limits);
        const bool hasHead = parser->is_header_done();
        if (!error)
            error = co_await readBody(*parser, *limits);
        if (!error && !m_evicted) {
            releaseBuffer();
            serve();
            m_version = parser->get().version();
            m_keepAlive = parser->get().keep_alive() && parser->is_done();
            m_request = toRequest(parser->release());
            co_return true;
        }
        // Frees what was read before the client takes its answer.
        parser.reset();
        m_buffer = {};
        releaseRequest();
        if (m_evicted && hasHead)
            co_await refuse(ErrorKind::Overloaded, "out of memory for requests");
        if (m_evicted)
            co_return false;
        const bool refusable =
            error.category() == ErrorCode(boost::beast::http::error::bad_method).category()
            || error == boost::beast::error::timeout;
        if (error != boost::beast::http::error::end_of_stream && refusable)
            co_await refuse(kindOfReadError(error), error.message());
        co_return false;
    }

    /// Waits for the first bytes of a request. False at the end of the connection.
    Awaitable<bool> waitForRequest(const HttpLimits &limits)
    {
        if (m_buffer.size() > 0)
            co_return true;
        constexpr std::size_t firstReadBytes = 4096;
        m_idle = true;
        enter(Phase::Idle);
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

    Awaitable<ErrorCode> readHeader(Parser &parser, const HttpLimits &limits)
    {
        ErrorCode error = parseHeader(parser);
        if (error || parser.is_header_done())
            co_return error;
        // The stream's own timeout would close the socket, and the client would get no answer.
        boost::asio::steady_timer timer(m_stream.get_executor());
        const auto reading = std::make_shared<HeaderReading>();
        timer.expires_after(std::chrono::milliseconds(
            limits.headerTimeoutMs > 0 ? limits.headerTimeoutMs : limits.readTimeoutMs));
        timer.async_wait([reading, self = this->shared_from_this()](ErrorCode cancelled) {
            if (cancelled || reading->done)
                return;
            reading->late = true;
            boost::beast::get_lowest_layer(self->m_stream).cancel();
        });
        boost::beast::get_lowest_layer(m_stream).expires_never();
        while (!error && !m_evicted && !parser.is_header_done()) {
            error = co_await readMore(parser);
            if (!error)
                error = parseHeader(parser);
        }
        reading->done = true;
        timer.cancel();
        if (reading->late)
            co_return ErrorCode(boost::beast::error::timeout);
        co_return error;
    }

    /// Reads bytes behind those that the parser could not take yet.
    Awaitable<ErrorCode> readMore(const Parser &parser)
    {
        namespace http = boost::beast::http;
        constexpr std::size_t readBytes = 16 << 10;
        const std::size_t room = std::min(readBytes, m_buffer.max_size() - m_buffer.size());
        if (room == 0)
            co_return ErrorCode(http::error::buffer_overflow);
        const auto [error, size] =
            co_await m_stream.async_read_some(m_buffer.prepare(room), useTuple);
        m_buffer.commit(size);
        if (error != boost::asio::error::eof)
            co_return error;
        co_return ErrorCode(parser.got_some() ? http::error::partial_message
                                              : http::error::end_of_stream);
    }

    /// Parses what there is of the head. A head of many fields counts before it is complete.
    ErrorCode parseHeader(Parser &parser)
    {
        ErrorCode error;
        const std::size_t parsed = parser.put(m_buffer.data(), error);
        m_buffer.consume(parsed);
        m_headBytes += parsed;
        if (m_headBytes > freeBytes / 2 || m_buffer.capacity() > freeBytes)
            m_evicted = m_evicted || !tryHold(headMemory(parser, m_headBytes));
        return error == boost::beast::http::error::need_more ? ErrorCode() : error;
    }

    /// Memory of the fields that were parsed, which are copied once, and of what is not parsed yet.
    std::size_t headMemory(const Parser &parser, std::size_t size) const
    {
        const auto &fields = parser.get();
        const auto count = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
        return 2 * size + m_buffer.capacity() + fieldBytes * count;
    }

    /// Reads the body unless the connection was evicted, or the body is not needed. A body that is
    /// not read ends the connection with the answer.
    Awaitable<ErrorCode> readBody(Parser &parser, const HttpLimits &limits)
    {
        if (m_evicted || parser.is_done() || !needsBody(parser))
            co_return ErrorCode();
        if (boost::beast::iequals(parser.get()[boost::beast::http::field::expect],
                                  "100-continue")) {
            constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
            arm(limits.writeTimeoutMs);
            const auto [error, size] =
                co_await boost::asio::async_write(m_stream, boost::asio::buffer(interim), useTuple);
            if (error)
                co_return error;
        }
        const std::size_t head = m_held;
        parser.eager(true);
        arm(limits.readTimeoutMs);
        while (!parser.is_done()) {
            const auto [error, size] =
                co_await boost::beast::http::async_read_some(m_stream, m_buffer, parser, useTuple);
            if (error || m_evicted)
                co_return error;
            enter(Phase::Receiving);
            const std::string &body = parser.get().body();
            // The body is copied while it is sent on.
            const std::size_t copies = 2;
            const std::size_t held = parser.content_length()
                                         ? body.size()
                                         : std::max(body.size(), body.capacity() / copies);
            if (!tryHold(head + m_buffer.capacity() + copies * held)) {
                m_evicted = true;
                co_return ErrorCode();
            }
        }
        co_return ErrorCode();
    }

    /// Asks the listener, unless the body has come already.
    bool needsBody(const Parser &parser) const
    {
        const auto rest = parser.content_length_remaining();
        if (!m_registry->bodyFilter() || (rest && *rest <= m_buffer.size()))
            return true;
        const auto target = parser.get().target();
        const auto host = parser.get()[boost::beast::http::field::host];
        const std::string_view path(target.data(), std::min(target.find('?'), target.size()));
        return m_registry->bodyFilter()({host.data(), host.size()}, path);
    }

    Awaitable<void> refuse(ErrorKind kind, std::string reason)
    {
        m_keepAlive = false;
        co_await respond(refusal(kind, reason));
    }

    /// Lets the client read its last answer: closing with unread bytes would reset the connection.
    Awaitable<void> linger()
    {
        constexpr int lingerMs = 1000;
        constexpr std::size_t drainBytes = 4096;
        enter(Phase::Idle);
        socket().shutdown(Socket::shutdown_send, m_ignored);
        arm(lingerMs);
        ErrorCode error;
        while (!error && !m_closed) {
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
        socket().async_wait(Socket::wait_read, [self = this->shared_from_this()](ErrorCode error) {
            self->readable(error);
        });
    }

    void readable(ErrorCode error)
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
        boost::beast::get_lowest_layer(m_stream).expires_after(
            std::chrono::milliseconds(timeoutMs));
    }

    void close()
    {
        m_closed = true;
        socket().shutdown(Socket::shutdown_both, m_ignored);
        socket().close(m_ignored);
    }

    Stream m_stream;
    std::shared_ptr<ConnectionRegistry> m_registry;
    std::optional<ConnectionBudget::Share> m_share;
    boost::beast::flat_buffer m_buffer;
    HttpRequest m_request;
    std::function<void()> m_gone;
    ErrorCode m_ignored;
    /// What the request holds besides what each connection holds, as reported to the budget.
    std::size_t m_held = 0;
    /// Parsed bytes of the head that is being read.
    std::size_t m_headBytes = 0;
    unsigned m_version = 11;
    Phase m_phase = Phase::Idle;
    bool m_keepAlive = true;
    bool m_ended = false;
    bool m_closed = false;
    bool m_evicted = false;
    bool m_idle = false;
    bool m_watching = false;
};

} // namespace tamarack
