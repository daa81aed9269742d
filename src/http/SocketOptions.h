#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>

#include <boost/asio/ip/tcp.hpp>

namespace tamarack {

/// Sends small writes at once and ends the connection when its other end has been silent for
/// `silence`: data not acknowledged, or keep-alive probes not answered.
void tuneSocket(boost::asio::ip::tcp::socket &socket, milliseconds silence);

enum class Peeked : std::uint8_t { Nothing, Bytes, End };

/// What the connection holds next, without taking it. Makes the socket non-blocking.
Peeked peekSocket(boost::asio::ip::tcp::socket &socket);

/// Bytes that were written to the connection and that its other end has not acknowledged; 0 if the
/// system does not tell.
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket);

} // namespace tamarack
