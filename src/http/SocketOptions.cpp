#include "http/SocketOptions.h"

#include <algorithm>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

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

Peeked peekSocket(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    if (error == boost::asio::error::would_block)
        return Peeked::Nothing;
    return error ? Peeked::End : Peeked::Bytes;
}

std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket)
{
    int bytes = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0)
        return 0;
    return static_cast<std::size_t>(bytes);
}

} // namespace tamarack
