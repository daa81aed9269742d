#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace tamarack::standin {

/// Refuses every third request without running it, and writes each refusal once more before the
/// next response on the same connection.
class RepeatingServer
{
public:
    /// Port 0 selects any free port.
    RepeatingServer(boost::asio::io_context &context, unsigned short port);

    unsigned short port() const;
    /// How often the request with each id has run.
    std::map<std::string, int> runs() const;
    /// How many refusals were written once more.
    int repeated() const { return m_repeated; }

    /// Whether a refusal that is written once more names its request.
    std::atomic<bool> repeatsId{false};

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    bool run(const std::string &requestId);

    boost::asio::ip::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::atomic<int> m_repeated{0};
    int m_requests = 0;
};

} // namespace tamarack::standin
