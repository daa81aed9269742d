#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>

namespace tamarack::standin {

/// What a link does to its connections.
enum class LinkFault : std::uint8_t {
    None,
    /// Resets open connections and every new one.
    Refused,
    /// Holds bytes back, both ways or one way, until the fault ends.
    Silent,
    SilentForward,
    SilentBackward,
    /// Delays each piece.
    Slow,
};

/// Relays TCP connections to one target, with faults on demand. Used on the thread of its context,
/// which must not run on after the relay has gone.
class LinkRelay
{
public:
    LinkRelay(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &listen,
              boost::asio::ip::tcp::endpoint target);
    ~LinkRelay();
    LinkRelay(const LinkRelay &) = delete;
    LinkRelay &operator=(const LinkRelay &) = delete;

    unsigned short port() const;
    /// Holds for open and for new connections.
    void setFault(LinkFault fault);
    /// Resets the open connections and closes the listener, as when the target's process ends, or
    /// opens the listener again.
    void setListening(bool listening);
    /// Resets the open connections.
    void cut();
    /// The open connections swallow bytes from now on and stay open.
    void swallow();

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> open(boost::asio::ip::tcp::socket accepted);
    boost::asio::awaitable<void> copy(ConnectionPtr connection, bool forward);
    boost::asio::awaitable<void> waitForFault(ConnectionPtr connection, bool forward);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_address;
    boost::asio::ip::tcp::endpoint m_target;
    std::set<ConnectionPtr> m_connections;
    LinkFault m_fault = LinkFault::None;
};

} // namespace tamarack::standin
