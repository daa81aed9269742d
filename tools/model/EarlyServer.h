#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace tamarack::standin {

/// How the connection ends behind an early response.
enum class EarlyEnd : std::uint8_t {
    /// Reset at once.
    Reset,
    /// Closed; the kernel resets it, as bytes of the request are unread.
    Close,
    /// The writing side ends in order, the request is not read any further.
    HalfClose,
};

/// Responds as soon as it has read the head of a request, with raw bytes, and ends the connection
/// while the body is still being sent.
class EarlyServer
{
public:
    /// Port 0 selects any free port.
    EarlyServer(boost::asio::io_context &context, unsigned short port);

    unsigned short port() const;

    /// What stands between the version and the end of the status line, such as "200 OK".
    std::string status = "200 OK";
    /// Header lines besides the id and the signature, each with its line's end.
    std::string fields;
    std::string body;
    EarlyEnd end = EarlyEnd::Reset;
    /// Responds to the first request of a connection wholly, and keeps the connection.
    bool servesFirst = false;
    /// Responses that ended early.
    std::atomic<int> early{0};

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace tamarack::standin
