#include "model/LoopbackListener.h"

#include "base/AsioPch.h"

#include <atomic>
#include <stdexcept>

#include <unistd.h>

namespace tamarack::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

std::unique_ptr<HttpServer> listenOnLoopback(asio::io_context &context, unsigned short port,
                                             HttpHandler handler)
{
    const ListenerSettings listener{{"127.0.0.1", port}, std::nullopt};
    asio::io_context *only = &context;
    auto made = HttpServer::makeServer(listener, {}, {&only, 1}, std::move(handler));
    if (!made)
        throw std::runtime_error(made.error().message);
    return std::move(*made);
}

unsigned short freePort()
{
    constexpr int lowest = 12000;
    constexpr int processes = 22;
    constexpr int portsPerProcess = 900;
    static std::atomic<int> next{0};
    asio::io_context context;
    for (int i = 0; i < portsPerProcess; ++i) {
        const int offset = (::getpid() % processes) * portsPerProcess + next++ % portsPerProcess;
        const auto port = static_cast<unsigned short>(lowest + offset);
        tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(tcp::v4());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        const auto address = asio::ip::make_address("127.0.0.1");
        acceptor.bind({address, port}, error);
        asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
        if (!error)
            datagrams.bind({address, port}, error);
        if (!error)
            return port;
    }
    throw std::runtime_error("all ports of this process are in use");
}

} // namespace tamarack::standin
