#include "model/UnframedServer.h"

#include "base/AsioPch.h"
#include "model/RawRequest.h"
#include "process/Timers.h"

#include <string>
#include <utility>

namespace tamarack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

UnframedServer::UnframedServer(asio::io_context &context, unsigned short port)
    : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), port))
{
    asio::co_spawn(
        context,
        acceptEach(m_acceptor, [this](tcp::socket socket) { return serve(std::move(socket)); }),
        asio::detached);
}

unsigned short UnframedServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

asio::awaitable<void> UnframedServer::serve(tcp::socket socket)
{
    std::string request;
    const auto [readError, size] = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(request), "\r\n\r\n", useTuple);
    if (readError || m_isEnding)
        co_return;
    if (born > 0 && request.starts_with("GET /report")) {
        const std::string report = R"({"born":)" + std::to_string(born) + "}";
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
        co_await asio::async_write(
            socket, asio::buffer(head + std::to_string(report.size()) + "\r\n\r\n" + report),
            useTuple);
        co_return;
    }
    std::string response = "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
                           + "\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\n"
                           + (leaving ? "Server-Leaving: 1\r\n\r\n" : "\r\n");
    const int crashAfter = eventsBeforeCrash;
    const int events = crashAfter > 0 ? crashAfter : streamEvents;
    for (int id = 1; id <= events; ++id)
        response += "id: " + std::to_string(id) + "\ndata: piece\n\n";
    co_await asio::async_write(socket, asio::buffer(response), useTuple);
    co_await pause(milliseconds(endDelayMs));
    boost::system::error_code error;
    if (crashAfter > 0 && restartsAtOnce)
        ++born;
    else if (crashAfter > 0 && acceptsWhileEnding)
        m_isEnding = true;
    else if (crashAfter > 0)
        m_acceptor.close(error);
    socket.shutdown(tcp::socket::shutdown_both, error);
}

} // namespace tamarack::standin
