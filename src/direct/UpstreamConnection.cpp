#include "direct/UpstreamConnection.h"

#include "base/AsioPch.h"
#include "http/HeaderCopy.h"
#include "http/ResponseHead.h"
#include "http/SocketOptions.h"

#include <array>

namespace tamarack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
/// Connect timeout. It is shorter than the 1 s after which TCP retransmits a lost SYN, because by
/// then another upstream can have responded; this upstream is tried again later.
constexpr milliseconds connectTimeout{300};
/// A connection is considered dead when sent data or keep-alive probes are not acknowledged for
/// this long.
constexpr milliseconds unresponsiveTimeout{2000};
constexpr std::size_t bodyReadBytes = 8 << 10;
constexpr std::uint32_t headBytes = 64 << 10;
/// Bytes that may be read without a complete element, such as a head, the size of a chunk with its
/// extensions, or a trailer.
constexpr std::size_t unparsedBytes = 128 << 10;

} // namespace

struct UpstreamConnection::Private
{
    explicit Private(const asio::any_io_executor &executor)
        : stream(executor)
    {}

    /// Whether the whole request has arrived when the connection has ended. Its last packet
    /// acknowledges what came before it. A failed write takes the error of a reset, so that the
    /// reset reads like an end in order.
    bool requestArrived()
    {
        return !writing && !failed && unacknowledgedBytes(stream.socket()) == 0;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{unparsedBytes};
    http::request<http::string_body> message;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, bodyReadBytes> piece{};
    bool headRequest = false;
    bool endsWithConnection = false;
    bool writing = false;
    bool failed = false;
};

UpstreamConnection::UpstreamConnection(std::unique_ptr<Private> p)
    : m_private(std::move(p))
{}

UpstreamConnection::~UpstreamConnection() = default;

asio::awaitable<Result<std::shared_ptr<UpstreamConnection>>>
UpstreamConnection::makeConnection(asio::any_io_executor executor, Endpoint endpoint)
{
    auto p = std::make_unique<Private>(executor);
    beast::error_code ignored;
    const tcp::endpoint address(asio::ip::make_address(endpoint.address, ignored), endpoint.port);
    p->stream.expires_after(connectTimeout);
    const auto [error] = co_await p->stream.async_connect(address, useTuple);
    if (error)
        co_return failure(ErrorKind::UpstreamRefused, error.message());
    p->stream.expires_never();
    tuneSocket(p->stream.socket(), unresponsiveTimeout);
    co_return std::shared_ptr<UpstreamConnection>(new UpstreamConnection(std::move(p)));
}

void UpstreamConnection::send(HttpRequest request)
{
    auto &p = *m_private;
    p.message = {};
    p.message.method_string(request.method);
    p.message.target(request.target);
    p.message.version(11);
    for (const auto &[name, value] : request.headers)
        p.message.insert(name, value);
    p.message.body() = std::move(request.body);
    p.message.prepare_payload();
    p.headRequest = p.message.method() == http::verb::head;
    p.writing = true;
    http::async_write(p.stream, p.message,
                      [self = shared_from_this()](beast::error_code error, std::size_t) {
                          self->m_private->writing = false;
                          self->m_private->failed = self->m_private->failed || error;
                      });
}

asio::awaitable<Result<UpstreamHead>> UpstreamConnection::readHead()
{
    auto &p = *m_private;
    const auto prepare = [&p](auto &parser) {
        parser.header_limit(headBytes);
        parser.body_limit(boost::none);
        parser.skip(p.headRequest);
    };
    const beast::error_code error = co_await readFinalHead(p.stream, p.buffer, p.parser, prepare);
    if (error) {
        p.failed = true;
        const bool malformed =
            error.category() == beast::error_code(http::error::bad_version).category()
            && error != http::error::end_of_stream && error != http::error::partial_message;
        co_return failure(malformed ? ErrorKind::UpstreamFailed : ErrorKind::UpstreamLost,
                          error.message());
    }
    p.endsWithConnection = p.parser->need_eof();
    co_return UpstreamHead{static_cast<int>(p.parser->get().result_int()),
                           toHeaders(p.parser->get())};
}

asio::awaitable<Result<std::string_view>> UpstreamConnection::readBody()
{
    auto &p = *m_private;
    while (!p.parser->is_done()) {
        auto &body = p.parser->get().body();
        body.data = p.piece.data();
        body.size = p.piece.size();
        const auto [error, size] =
            co_await http::async_read_some(p.stream, p.buffer, *p.parser, useTuple);
        if (error && error != http::error::need_buffer) {
            p.failed = true;
            co_return failure(ErrorKind::UpstreamLost, error.message());
        }
        const std::size_t got = p.piece.size() - body.size;
        if (got > 0)
            co_return std::string_view(p.piece.data(), got);
    }
    if (p.endsWithConnection && !p.requestArrived()) {
        p.failed = true;
        co_return failure(ErrorKind::UpstreamLost, "response ended before the request was read");
    }
    co_return std::string_view();
}

bool UpstreamConnection::endsWithConnection() const
{
    return m_private->endsWithConnection;
}

bool UpstreamConnection::reusable() const
{
    const auto &p = *m_private;
    return !p.failed && !p.writing && p.parser && p.parser->is_done() && p.parser->keep_alive()
           && p.buffer.size() == 0;
}

bool UpstreamConnection::stale()
{
    return peekSocket(m_private->stream.socket()) != Peeked::Nothing;
}

void UpstreamConnection::close()
{
    m_private->failed = true;
    m_private->stream.close();
}

} // namespace tamarack
