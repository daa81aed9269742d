#include "http/SocketOptions.h"

#include <algorithm>
#include <netinet/tcp.h>

namespace tamarack {

namespace {

template <int Level, int Name>
using IntegerOption = boost::asio::detail::socket_option::integer<Level, Name>;

constexpr int probes = 2;

} // namespace

void tuneSocket(boost::asio::ip::tcp::socket &socket, milliseconds silence)
{
    boost::system::error_code ignored;
    const auto bound = static_cast<int>(silence.count());
    const int probeSeconds = std::max(1, bound / 1000 / probes);
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(probeSeconds), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(probeSeconds), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(probes), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(bound), ignored);
}

} // namespace tamarack
