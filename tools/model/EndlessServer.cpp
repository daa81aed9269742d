#include "model/EndlessServer.h"

#include "base/AsioPch.h"
#include "model/RawRequest.h"

#include <utility>

namespace tamarack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// What comes before the part that does not end.
std::string beginning(EndlessPart part, const std::string &requestId)
{
    std::string head =
        "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nServer-Signature: s\r\n";
    switch (part) {
    case EndlessPart::Garbage:
        return "";
    case EndlessPart::Head:
        return head;
    case EndlessPart::Body:
        return head + "\r\n";
    case EndlessPart::Event:
        return head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ";
    }
    return "";
}

std::string filler(EndlessPart part)
{
    constexpr std::size_t pieceBytes = 1 << 16;
    std::string piece;
    while (piece.size() < pieceBytes)
        piece += part == EndlessPart::Head ? "X-More: and more\r\n" : "xxxxxxxxxxxxxxxx";
    return piece;
}

} // namespace

EndlessServer::EndlessServer(asio::io_context &context, unsigned short port)
    : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), port))
{
    asio::co_spawn(
        context,
        acceptEach(m_acceptor, [this](tcp::socket socket) { return serve(std::move(socket)); }),
        asio::detached);
}

asio::awaitable<void> EndlessServer::serve(tcp::socket socket)
{
    std::string request;
    const auto [readError, size] = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::as_tuple(asio::use_awaitable));
    if (readError)
        co_return;
    taken = 0;
    closed = false;
    const EndlessPart sent = part;
    std::string piece = beginning(sent, headerOf(request, "Request-Id")) + filler(sent);
    while (true) {
        const auto [error, written] = co_await asio::async_write(
            socket, asio::buffer(piece), asio::as_tuple(asio::use_awaitable));
        taken += written;
        if (error)
            break;
        piece = filler(sent);
    }
    closed = true;
}

} // namespace tamarack::standin
