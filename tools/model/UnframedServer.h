#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>

namespace tamarack::standin {

/// Responds to every request with a stream that has neither a length nor chunks and ends with its
/// connection.
class UnframedServer
{
public:
    /// Port 0 selects any free port.
    UnframedServer(boost::asio::io_context &context, unsigned short port);

    unsigned short port() const;

    static constexpr int streamEvents = 5;
    /// The process ends after this many events of a stream: its kernel
    /// closes the connections in order, and new ones are refused. 0: never.
    std::atomic<int> eventsBeforeCrash{0};
    /// When the process ends, its kernel accepts connections for a moment, and then resets them.
    std::atomic<bool> acceptsWhileEnding{false};
    /// A process that has ended is back at once, as another incarnation.
    std::atomic<bool> restartsAtOnce{false};
    /// Start of its process, in its report on itself; 0: it has no report.
    std::atomic<std::uint64_t> born{0};
    /// Whether responses state that the upstream is shutting down.
    std::atomic<bool> leaving{false};
    /// From the events to the end of the connection.
    std::atomic<int> endDelayMs{0};

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    bool m_isEnding = false;
};

} // namespace tamarack::standin
