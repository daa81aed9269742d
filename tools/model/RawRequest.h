#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace tamarack::standin {

/// Value of a header in the text of a request's head; empty if it is not there. For stand-ins that
/// speak raw bytes.
std::string headerOf(const std::string &request, const std::string &name);

/// Calls `serve` with each connection until the acceptor is closed.
boost::asio::awaitable<void>
acceptEach(boost::asio::ip::tcp::acceptor &acceptor,
           std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket)> serve);

} // namespace tamarack::standin
