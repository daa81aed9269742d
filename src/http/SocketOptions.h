#pragma once

#include "base/Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace tamarack {

/// Sends small writes at once and ends the connection when its other end has been silent for
/// `silence`: data not acknowledged, or keep-alive probes not answered.
void tuneSocket(boost::asio::ip::tcp::socket &socket, milliseconds silence);

} // namespace tamarack
