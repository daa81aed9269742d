#include "model/RepeatingServer.h"

#include "base/AsioPch.h"
#include "model/RawRequest.h"

#include <utility>

namespace tamarack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

std::string refusal(const std::string &idLine)
{
    return "HTTP/1.1 503 Full\r\n" + idLine + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

RepeatingServer::RepeatingServer(asio::io_context &context, unsigned short port)
    : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), port))
{
    asio::co_spawn(
        context,
        acceptEach(m_acceptor, [this](tcp::socket socket) { return serve(std::move(socket)); }),
        asio::detached);
}

unsigned short RepeatingServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

std::map<std::string, int> RepeatingServer::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

bool RepeatingServer::run(const std::string &requestId)
{
    constexpr int refusedInterval = 3;
    if (++m_requests % refusedInterval == 0)
        return false;
    const std::lock_guard lock(m_mutex);
    ++m_runs[requestId];
    return true;
}

asio::awaitable<void> RepeatingServer::serve(tcp::socket socket)
{
    std::string received;
    std::string repeatedRefusal;
    while (true) {
        const auto [readError, size] =
            co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                                            asio::as_tuple(asio::use_awaitable));
        if (readError)
            co_return;
        const std::string requestId = headerOf(received.substr(0, size), "Request-Id");
        received.erase(0, size);
        const std::string idLine = "Request-Id: " + requestId + "\r\n";
        const bool ran = run(requestId);
        m_repeated += repeatedRefusal.empty() ? 0 : 1;
        std::string response = std::exchange(repeatedRefusal, "");
        if (ran)
            response += "HTTP/1.1 200 OK\r\n" + idLine
                        + "Server-Signature: s\r\nContent-Length: 4\r\n\r\ndone";
        else {
            response += refusal(idLine);
            repeatedRefusal = refusal(repeatsId ? idLine : "");
        }
        const auto [writeError, written] = co_await asio::async_write(
            socket, asio::buffer(response), asio::as_tuple(asio::use_awaitable));
        if (writeError)
            co_return;
    }
}

} // namespace tamarack::standin
