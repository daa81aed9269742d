#include "http/HttpClient.h"

#include "base/AsioPch.h"
#include "http/HeaderCopy.h"
#include "http/ResponseHead.h"
#include "http/SocketOptions.h"

#include <algorithm>
#include <map>
#include <optional>

namespace tamarack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using tcp = asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::as_tuple(use_awaitable);
/// A server that does not acknowledge for this long is gone, though a call may wait longer.
constexpr milliseconds silenceBound{2000};
/// Longer than the retransmission of a lost opening packet.
constexpr milliseconds longestConnect{1200};
constexpr std::size_t readBytes = 16 << 10;
constexpr std::size_t idleConnectionsPerServer = 64;
/// Pages of the store have about 1 MB.
constexpr std::uint64_t largestAnswerBytes = 8ULL << 20;
/// Bytes that may be read without a complete element, such as a head or the size of a chunk.
constexpr std::size_t unparsedBytes = 128 << 10;

http::request<http::string_body> toMessage(const Endpoint &server, HttpRequest &&request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, toString(server));
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

Error toError(beast::error_code error, std::string_view step)
{
    auto kind = error == beast::error::timeout ? ErrorKind::Timeout : ErrorKind::IoFailed;
    if (error == http::error::body_limit)
        kind = ErrorKind::PayloadTooLarge;
    return {kind, std::string(step) + ": " + error.message()};
}

asio::awaitable<Result<void>> connect(beast::tcp_stream &stream, const Endpoint &server,
                                      Duration timeout)
{
    beast::error_code addressError;
    const tcp::endpoint endpoint(asio::ip::make_address(server.address, addressError), server.port);
    stream.expires_after(timeout);
    const auto [error] = co_await stream.async_connect(endpoint, useTuple);
    if (error)
        co_return failure(ErrorKind::UpstreamRefused,
                          "connect to " + toString(server) + ": " + error.message());
    tuneSocket(stream.socket(), silenceBound);
    co_return Result<void>();
}

/// A kept connection is stale once the server has closed it or sent something unasked.
bool isStale(beast::tcp_stream &stream)
{
    return peekSocket(stream.socket()) != Peeked::Nothing;
}

} // namespace

struct HttpClient::Private
{
    using Connection = std::unique_ptr<beast::tcp_stream>;

    Connection takeIdle(const std::string &server)
    {
        auto &list = idle[server];
        while (!list.empty()) {
            Connection connection = std::move(list.back());
            list.pop_back();
            if (!isStale(*connection))
                return connection;
        }
        return nullptr;
    }

    asio::any_io_executor executor;
    std::map<std::string, std::vector<Connection>> idle;
};

HttpClient::HttpClient(asio::any_io_executor executor)
    : m_private(std::make_unique<Private>(Private{std::move(executor), {}}))
{}

HttpClient::~HttpClient() = default;

asio::awaitable<Result<HttpResponse>> HttpClient::call(Endpoint server, HttpRequest request,
                                                       Duration timeout)
{
    const std::string name = toString(server);
    auto connection = m_private->takeIdle(name);
    if (!connection) {
        connection = std::make_unique<beast::tcp_stream>(m_private->executor);
        const Duration connectTimeout = std::min<Duration>(timeout, longestConnect);
        if (auto connected = co_await connect(*connection, server, connectTimeout); !connected)
            co_return tl::unexpected(connected.error());
    }
    const auto message = toMessage(server, std::move(request));
    connection->expires_after(timeout);
    const auto [writeError, written] = co_await http::async_write(*connection, message, useTuple);
    if (writeError)
        co_return tl::unexpected(toError(writeError, "write"));
    beast::flat_buffer buffer(unparsedBytes);
    std::optional<http::response_parser<http::string_body>> parser;
    const auto prepare = [](auto &fresh) { fresh.body_limit(largestAnswerBytes); };
    beast::error_code readError = co_await readFinalHead(*connection, buffer, parser, prepare);
    if (!readError) {
        const auto [bodyError, size] =
            co_await http::async_read(*connection, buffer, *parser, useTuple);
        readError = bodyError;
    }
    if (readError) {
        // What made this connection silent may have made the idle ones silent, too.
        if (readError == beast::error::timeout)
            m_private->idle.erase(name);
        co_return tl::unexpected(toError(readError, "read"));
    }
    auto &reply = parser->get();
    HttpResponse response{static_cast<int>(reply.result_int()), toHeaders(reply), reply.body()};
    auto &list = m_private->idle[name];
    if (reply.keep_alive() && list.size() < idleConnectionsPerServer) {
        connection->expires_never();
        list.push_back(std::move(connection));
    }
    co_return response;
}

struct HttpStream::Private
{
    explicit Private(const asio::any_io_executor &executor)
        : stream(executor)
    {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{unparsedBytes};
    /// Set from the head on.
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::string piece;
};

HttpStream::HttpStream(asio::any_io_executor executor)
    : m_private(std::make_unique<Private>(executor))
{}

HttpStream::~HttpStream() = default;

asio::awaitable<Result<HttpResponse>> HttpStream::open(Endpoint server, HttpRequest request,
                                                       Duration connectTimeout, Duration timeout)
{
    auto &p = *m_private;
    if (auto connected = co_await connect(p.stream, server, connectTimeout); !connected)
        co_return tl::unexpected(connected.error());
    const auto message = toMessage(server, std::move(request));
    p.stream.expires_after(timeout);
    const auto [writeError, written] = co_await http::async_write(p.stream, message, useTuple);
    if (writeError)
        co_return tl::unexpected(toError(writeError, "write"));
    const auto prepare = [](auto &fresh) { fresh.body_limit(boost::none); };
    const beast::error_code readError =
        co_await readFinalHead(p.stream, p.buffer, p.parser, prepare);
    if (readError)
        co_return tl::unexpected(toError(readError, "read"));
    co_return HttpResponse{static_cast<int>(p.parser->get().result_int()),
                           toHeaders(p.parser->get()), ""};
}

asio::awaitable<Result<std::optional<std::string>>> HttpStream::read(Duration timeout)
{
    auto &p = *m_private;
    while (p.parser && !p.parser->is_done()) {
        p.piece.resize(readBytes);
        p.parser->get().body().data = p.piece.data();
        p.parser->get().body().size = p.piece.size();
        p.stream.expires_after(timeout);
        const auto [error, size] =
            co_await http::async_read_some(p.stream, p.buffer, *p.parser, useTuple);
        if (error && error != http::error::need_buffer)
            co_return tl::unexpected(toError(error, "read"));
        const std::size_t got = readBytes - p.parser->get().body().size;
        if (got > 0) {
            p.piece.resize(got);
            co_return std::optional<std::string>(std::move(p.piece));
        }
    }
    co_return std::optional<std::string>();
}

void HttpStream::close()
{
    m_private->stream.close();
}

} // namespace tamarack
