#include "support/ClientCrowd.h"

#include "process/Timers.h"

#include <array>
#include <list>

#include <boost/asio.hpp>

namespace tamarack::harness {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds checkInterval{10};

asio::awaitable<void> readAll(tcp::socket &socket)
{
    std::array<char, 4096> piece{};
    while (true) {
        const auto [error, size] = co_await socket.async_read_some(asio::buffer(piece), useTuple);
        if (error)
            co_return;
    }
}

} // namespace

struct ClientCrowd::Private
{
    asio::awaitable<void> send(tcp::socket &socket, tcp::endpoint server, CrowdScript script)
    {
        const auto [connectError] = co_await socket.async_connect(server, useTuple);
        boost::system::error_code error = connectError;
        if (!error && script.reads)
            asio::co_spawn(context, readAll(socket), asio::detached);
        if (!error) {
            const auto [sendError, size] =
                co_await asio::async_write(socket, asio::buffer(script.beginning), useTuple);
            error = sendError;
        }
        for (std::size_t i = 0; !error && i < script.repeats; ++i) {
            const auto [sendError, size] =
                co_await asio::async_write(socket, asio::buffer(script.piece), useTuple);
            error = sendError;
            if (!error && script.pause > milliseconds(0))
                co_await pause(script.pause);
        }
        --sending;
    }

    asio::io_context context;
    std::list<tcp::socket> sockets;
    std::size_t sending = 0;
};

ClientCrowd::ClientCrowd(unsigned short port, std::size_t clients, const CrowdScript &script)
    : m_private(std::make_unique<Private>())
{
    const tcp::endpoint server(asio::ip::make_address("127.0.0.1"), port);
    m_private->sending = clients;
    for (std::size_t i = 0; i < clients; ++i) {
        tcp::socket &socket = m_private->sockets.emplace_back(m_private->context);
        asio::co_spawn(m_private->context, m_private->send(socket, server, script), asio::detached);
    }
}

ClientCrowd::~ClientCrowd() = default;

void ClientCrowd::waitUntilSent(milliseconds longest)
{
    const TimePoint end = steadyNow() + longest;
    while (m_private->sending > 0 && steadyNow() < end)
        m_private->context.run_for(checkInterval);
}

std::string exchangeWithin(unsigned short port, const std::string &bytes, milliseconds longest)
{
    asio::io_context context;
    tcp::socket socket(context);
    std::string received;
    const auto exchange = [&]() -> asio::awaitable<void> {
        const tcp::endpoint server(asio::ip::make_address("127.0.0.1"), port);
        const auto [connectError] = co_await socket.async_connect(server, useTuple);
        if (connectError)
            co_return;
        co_await asio::async_write(socket, asio::buffer(bytes), useTuple);
        std::array<char, 4096> piece{};
        while (true) {
            const auto [error, size] =
                co_await socket.async_read_some(asio::buffer(piece), useTuple);
            received.append(piece.data(), size);
            if (error)
                co_return;
        }
    };
    asio::co_spawn(context, exchange, asio::detached);
    context.run_for(longest);
    return received;
}

} // namespace tamarack::harness
