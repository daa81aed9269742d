#include "base/ConnectionBudget.h"
#include "http/HttpServer.h"

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t budgetBytes = 1 << 19;
constexpr std::size_t connections = 4;

/// A server whose clients share a budget. It needs bodies at `/needed` only.
struct GuardedServer
{
    GuardedServer()
    {
        asio::io_context *context = &serverContext;
        const ListenerSettings listener{{"127.0.0.1", 0}, std::nullopt};
        HttpLimits limits;
        limits.writeTimeoutMs = 1000;
        auto made =
            HttpServer::makeServer(listener, limits, {&context, 1},
                                   [this](HttpExchange &exchange) { return serve(exchange); },
                                   {budget, [](std::string_view host, std::string_view path) {
                                        return host == "h" && path == "/needed";
                                    }});
        BOOST_REQUIRE(made);
        server = std::move(*made);
        thread = std::jthread([this] { serverContext.run(); });
    }

    ~GuardedServer() { serverContext.stop(); }

    asio::awaitable<void> serve(HttpExchange &exchange)
    {
        ++served;
        HttpResponse response{200, {}, std::to_string(exchange.request().body.size()) + " bytes"};
        co_await exchange.respond(std::move(response));
    }

    tcp::socket connect()
    {
        tcp::socket socket(clientContext);
        socket.connect({asio::ip::make_address("127.0.0.1"), server->port()});
        return socket;
    }

    static std::string head(std::string_view path, std::size_t bodyBytes)
    {
        return "POST " + std::string(path) + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
               + std::to_string(bodyBytes) + "\r\n\r\n";
    }

    /// What comes until `end`, or until the connection ends.
    static std::string readUntil(tcp::socket &socket, std::string_view end)
    {
        std::string text;
        boost::system::error_code error;
        std::array<char, 1024> piece{};
        while (!error && (end.empty() || text.find(end) == std::string::npos)) {
            const std::size_t size = socket.read_some(asio::buffer(piece), error);
            text.append(piece.data(), size);
        }
        return text;
    }

    std::shared_ptr<ConnectionBudget> budget =
        std::make_shared<ConnectionBudget>(ConnectionBudget::Limits{budgetBytes, connections});
    asio::io_context serverContext;
    asio::io_context clientContext;
    std::atomic<int> served{0};
    std::unique_ptr<HttpServer> server;
    std::jthread thread;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpGuardsSuite, GuardedServer)

BOOST_AUTO_TEST_CASE(aBodyThatIsNotNeededIsNotWaitedFor)
{
    auto socket = connect();
    asio::write(socket, asio::buffer(head("/other?q", 1000)));
    const std::string answer = readUntil(socket, "");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    BOOST_TEST(answer.ends_with("0 bytes"));
}

BOOST_AUTO_TEST_CASE(aBodyThatIsNeededComesWhole)
{
    auto socket = connect();
    const std::string body(100'000, 'x');
    asio::write(socket, asio::buffer(head("/needed?q", body.size()) + body));
    BOOST_TEST(readUntil(socket, "bytes").ends_with("100000 bytes"));
    // The connection goes on.
    asio::write(socket, asio::buffer(head("/needed", 2) + "xx"));
    BOOST_TEST(readUntil(socket, "bytes").ends_with("2 bytes"));
}

BOOST_AUTO_TEST_CASE(aBodyOverTheBudgetIsRefusedAndDoesNotRun)
{
    auto socket = connect();
    const std::string body(budgetBytes, 'x');
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(head("/needed", body.size()) + body), ignored);
    const std::string answer = readUntil(socket, "");
    BOOST_TEST(answer.starts_with("HTTP/1.1 429"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    BOOST_TEST(answer.find("not-run") != std::string::npos);
    BOOST_TEST(served == 0);
}

BOOST_AUTO_TEST_CASE(theIdlestConnectionMakesRoomForANewOne)
{
    auto idlest = connect();
    asio::write(idlest, asio::buffer(head("/needed", 1) + "x"));
    BOOST_TEST(readUntil(idlest, "bytes").ends_with("1 bytes"));
    std::array<std::unique_ptr<tcp::socket>, connections> others;
    for (auto &other : others) {
        other = std::make_unique<tcp::socket>(connect());
        asio::write(*other, asio::buffer(head("/needed", 1) + "x"));
        BOOST_TEST(readUntil(*other, "bytes").ends_with("1 bytes"));
    }
    BOOST_TEST(readUntil(idlest, "").empty());
    BOOST_TEST(budget->usage().evicted == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
