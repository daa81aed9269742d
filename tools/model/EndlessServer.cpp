#include "model/EndlessServer.h"

#include "base/AsioPch.h"
#include "model/RawRequest.h"
#include "process/Timers.h"

#include <utility>

namespace tamarack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// What comes before the part that does not end.
std::string beginning(EndlessPart part, const std::string &requestId)
{
    const std::string idLine = "Request-Id: " + requestId + "\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n" + idLine;
    std::string signedOk = ok + "Server-Signature: s\r\n";
    std::string chunked = signedOk + "Transfer-Encoding: chunked\r\n\r\n";
    switch (part) {
    case EndlessPart::Garbage:
        return "";
    case EndlessPart::Head:
        return signedOk;
    case EndlessPart::Body:
        return signedOk + "\r\n";
    case EndlessPart::Event:
        return signedOk + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ";
    case EndlessPart::UnsignedBody:
        return ok + "Content-Length: 1099511627776\r\n\r\n";
    case EndlessPart::FailureBody:
        return "HTTP/1.1 500 Failed\r\n" + idLine + "Server-Signature: s\r\n\r\n";
    case EndlessPart::RefusalBody:
        return "HTTP/1.1 503 Full\r\n" + idLine + "Not-Executed: 1\r\n\r\n";
    case EndlessPart::Chunks:
        return chunked;
    case EndlessPart::ChunkExtension:
        return chunked + "1;extension=";
    case EndlessPart::ChunkSize:
        return chunked + "0";
    case EndlessPart::Trailer:
        return chunked + "0\r\n";
    }
    return "";
}

std::string filler(EndlessPart part)
{
    constexpr std::size_t pieceBytes = 1 << 16;
    const bool isFields = part == EndlessPart::Head || part == EndlessPart::Trailer;
    std::string unit = isFields ? "X-More: and more\r\n" : "xxxxxxxxxxxxxxxx";
    if (part == EndlessPart::ChunkSize)
        unit = "0000000000000000";
    if (part == EndlessPart::Chunks)
        unit = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
    std::string piece;
    while (piece.size() < pieceBytes)
        piece += unit;
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
        if (pieceIntervalMs > 0)
            co_await pause(milliseconds(pieceIntervalMs));
    }
    closed = true;
}

} // namespace tamarack::standin
