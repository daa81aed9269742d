#include "model/EarlyServer.h"

#include "base/AsioPch.h"
#include "model/RawRequest.h"
#include "process/Timers.h"

#include <utility>

namespace tamarack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
/// Small, so that the body of a request does not fit into the socket.
constexpr int receiveBytes = 8 << 10;
/// Lets the other side read the response, and block in sending its request.
constexpr milliseconds untilEnd{60};
constexpr milliseconds untilClosed{300};

} // namespace

EarlyServer::EarlyServer(asio::io_context &context, unsigned short port)
    : m_acceptor(context)
{
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBytes));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    asio::co_spawn(
        context,
        acceptEach(m_acceptor, [this](tcp::socket socket) { return serve(std::move(socket)); }),
        asio::detached);
}

unsigned short EarlyServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

asio::awaitable<void> EarlyServer::serve(tcp::socket socket)
{
    const std::string endOfHead = "\r\n\r\n";
    std::string request;
    bool whole = servesFirst;
    while (true) {
        const auto [readError, size] = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(request), endOfHead, useTuple);
        if (readError)
            co_return;
        const std::string idLine = "Request-Id: " + headerOf(request, "Request-Id") + "\r\n";
        request.clear();
        std::string response = "HTTP/1.1 200 OK\r\n" + idLine
                               + "Server-Signature: s\r\nContent-Length: 5\r\n\r\nwhole";
        if (!whole)
            response = "HTTP/1.1 " + status + "\r\n" + idLine + "Server-Signature: s\r\n" + fields
                       + "\r\n" + body;
        co_await asio::async_write(socket, asio::buffer(response), useTuple);
        if (!std::exchange(whole, false))
            break;
    }
    co_await pause(untilEnd);
    ++early;
    boost::system::error_code error;
    if (end == EarlyEnd::HalfClose) {
        socket.shutdown(tcp::socket::shutdown_send, error);
        co_await pause(untilClosed);
    }
    if (end == EarlyEnd::Reset)
        socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
}

} // namespace tamarack::standin
