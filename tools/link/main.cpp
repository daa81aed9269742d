#include "base/AsioPch.h"
#include "model/StandinServer.h"

#include <absl/flags/flag.h>

#include <deque>
#include <set>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on");
ABSL_FLAG(std::string, target, "", "IP:PORT behind the link");
ABSL_FLAG(std::string, control, "127.0.0.1:0", "IP:PORT of the control call");
ABSL_FLAG(int, seed, 1, "seed of everything random");

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using namespace tamarack;
using namespace tamarack::standin;

constexpr std::size_t bufferBytes = 64 << 10;

/// One relayed connection. A silent one swallows bytes and stays open.
struct Connection
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
    }

    tcp::socket near;
    tcp::socket far;
    bool silent = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

asio::awaitable<void> copy(ConnectionPtr connection, tcp::socket &from, tcp::socket &to)
{
    std::vector<char> buffer(bufferBytes);
    while (true) {
        const auto [error, size] = co_await from.async_read_some(
            asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
        // What closes a silent connection is not passed on either.
        if (error && connection->silent)
            co_return;
        if (error)
            co_return connection->close();
        if (connection->silent)
            continue;
        co_await asio::async_write(to, asio::buffer(buffer.data(), size),
                                   asio::as_tuple(asio::use_awaitable));
    }
}

/// Passes bytes between an entry and an upstream process; faults by control call.
class LinkRelay
{
public:
    LinkRelay(asio::io_context &context, tcp::endpoint listen, tcp::endpoint target)
        : m_acceptor(context, listen)
        , m_target(std::move(target))
    {}

    asio::awaitable<void> run()
    {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            auto connection = std::make_shared<Connection>(std::move(socket));
            const auto [error] = co_await connection->far.async_connect(
                m_target, asio::as_tuple(asio::use_awaitable));
            if (error)
                continue;
            m_connections.insert(connection);
            start(connection);
        }
    }

    asio::awaitable<void> control(HttpExchange &exchange)
    {
        boost::system::error_code error;
        const json::value document = json::parse(exchange.request().body, error);
        const auto *object = document.if_object();
        if (!error && object && object->contains("silence"))
            for (const ConnectionPtr &connection : m_connections)
                connection->silent = true;
        if (!error && object && object->contains("cut"))
            for (const ConnectionPtr &connection : m_connections)
                connection->close();
        HttpResponse response = plainResponse(200, "{}");
        co_await exchange.respond(std::move(response));
    }

private:
    void start(const ConnectionPtr &connection)
    {
        const auto executor = connection->near.get_executor();
        const auto done = [this, connection](const std::exception_ptr &) {
            if (!connection->silent)
                m_connections.erase(connection);
        };
        asio::co_spawn(executor, copy(connection, connection->near, connection->far), done);
        asio::co_spawn(executor, copy(connection, connection->far, connection->near), done);
    }

    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    std::set<ConnectionPtr> m_connections;
};

tcp::endpoint toEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto listen = parseEndpoint(absl::GetFlag(FLAGS_listen));
    const auto target = parseEndpoint(absl::GetFlag(FLAGS_target));
    if (!listen || !target) {
        std::cerr << "--listen and --target must be IP:PORT\n";
        return 2;
    }
    asio::io_context context(1);
    LinkRelay relay(context, toEndpoint(*listen), toEndpoint(*target));
    asio::co_spawn(
        context, [&relay] { return relay.run(); }, asio::detached);
    return serve(context, absl::GetFlag(FLAGS_control),
                 [&relay](HttpExchange &exchange) { return relay.control(exchange); });
}
