#include "model/LinkRelay.h"

#include "base/AsioPch.h"
#include "process/Timers.h"

#include <vector>

namespace tamarack::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t bufferBytes = 64 << 10;
constexpr milliseconds faultPoll{5};
/// Delay of a piece on a slow link.
constexpr milliseconds slowDelay{60};

void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct LinkRelay::Connection
{
    explicit Connection(tcp::socket accepted)
        : near(std::move(accepted))
        , far(near.get_executor())
    {}

    void close()
    {
        boost::system::error_code ignored;
        near.close(ignored);
        far.close(ignored);
        closed = true;
    }

    void cut()
    {
        reset(near);
        reset(far);
        closed = true;
    }

    tcp::socket near;
    tcp::socket far;
    bool swallows = false;
    bool closed = false;
};

LinkRelay::LinkRelay(asio::io_context &context, const tcp::endpoint &listen, tcp::endpoint target)
    : m_context(context)
    , m_acceptor(context, listen)
    , m_address(m_acceptor.local_endpoint())
    , m_target(std::move(target))
{
    asio::co_spawn(
        context, [this] { return acceptLoop(); }, asio::detached);
}

LinkRelay::~LinkRelay() = default;

unsigned short LinkRelay::port() const
{
    return m_address.port();
}

void LinkRelay::setFault(LinkFault fault)
{
    m_fault = fault;
    if (fault == LinkFault::Refused)
        cut();
}

void LinkRelay::setListening(bool listening)
{
    if (listening == m_acceptor.is_open())
        return;
    if (!listening) {
        m_acceptor.close();
        cut();
        return;
    }
    m_acceptor = tcp::acceptor(m_context, m_address);
    asio::co_spawn(
        m_context, [this] { return acceptLoop(); }, asio::detached);
}

void LinkRelay::cut()
{
    for (const ConnectionPtr &connection : std::exchange(m_connections, {}))
        connection->cut();
}

void LinkRelay::swallow()
{
    for (const ConnectionPtr &connection : m_connections)
        connection->swallows = true;
}

asio::awaitable<void> LinkRelay::acceptLoop()
{
    while (true) {
        auto [error, socket] =
            co_await m_acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return;
        if (m_fault == LinkFault::Refused) {
            reset(socket);
            continue;
        }
        asio::co_spawn(m_context, open(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> LinkRelay::open(tcp::socket accepted)
{
    const auto connection = std::make_shared<Connection>(std::move(accepted));
    const auto [error] =
        co_await connection->far.async_connect(m_target, asio::as_tuple(asio::use_awaitable));
    if (error) {
        reset(connection->near);
        co_return;
    }
    boost::system::error_code ignored;
    connection->near.set_option(tcp::no_delay(true), ignored);
    connection->far.set_option(tcp::no_delay(true), ignored);
    m_connections.insert(connection);
    asio::co_spawn(m_context, copy(connection, true), asio::detached);
    asio::co_spawn(m_context, copy(connection, false), asio::detached);
}

asio::awaitable<void> LinkRelay::copy(ConnectionPtr connection, bool forward)
{
    tcp::socket &from = forward ? connection->near : connection->far;
    tcp::socket &to = forward ? connection->far : connection->near;
    std::vector<char> buffer(bufferBytes);
    while (true) {
        const auto [error, size] = co_await from.async_read_some(
            asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
        // What closes a swallowing connection is not passed on either.
        if (error && connection->swallows)
            co_return;
        co_await waitForFault(connection, forward);
        if (error) {
            connection->close();
            m_connections.erase(connection);
            co_return;
        }
        if (!connection->swallows)
            co_await asio::async_write(to, asio::buffer(buffer.data(), size),
                                       asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> LinkRelay::waitForFault(ConnectionPtr connection, bool forward)
{
    if (m_fault == LinkFault::Slow)
        co_await pause(slowDelay);
    const auto blocked = [this, forward] {
        return m_fault == LinkFault::Silent
               || m_fault == (forward ? LinkFault::SilentForward : LinkFault::SilentBackward);
    };
    while (blocked() && !connection->closed)
        co_await pause(faultPoll);
}

} // namespace tamarack::standin
