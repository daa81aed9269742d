#pragma once

#include "soak/Promises.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace tamarack::soak {

/// What clients need to know of the system under test.
struct ClientView
{
    /// Where each entry takes clients.
    std::vector<boost::asio::ip::tcp::endpoint> entries;
    std::string steadyKey;
    std::string newestKey;
    std::string formerKey;
    bool over = false;
};

/// A client that calls one entry after the other, keeps its connection while it can, and sometimes
/// leaves before its answer.
class SoakClient
{
public:
    SoakClient(const ClientView &view, Promises &promises, std::string name, std::uint64_t seed);

    /// Runs until the view says that it is over.
    boost::asio::awaitable<void> run();
    /// One plain request on a new connection; the status of its answer, 0: none.
    boost::asio::awaitable<int> probe(std::size_t entry);

private:
    using Stream = boost::beast::tcp_stream;

    std::size_t below(std::size_t bound) { return m_random() % bound; }
    SentCall drawCall();
    /// Sends the call, after connecting if needed, and has the answer checked. None if no
    /// connection could be made.
    boost::asio::awaitable<std::optional<CallAnswer>> perform(SentCall &call);
    /// Resumes the stream at any entry, as long as it breaks off again.
    boost::asio::awaitable<void> resume(SentCall broken, CallAnswer answer);
    /// False when no connection could be made.
    boost::asio::awaitable<bool> connect(std::size_t entry);
    boost::asio::awaitable<CallAnswer> call(const SentCall &call);
    /// Closes the connection after a while, unless the call has ended.
    void leaveSoon(const std::string &id);

    const ClientView &m_view;
    Promises &m_promises;
    std::string m_name;
    std::mt19937_64 m_random;
    std::shared_ptr<Stream> m_stream;
    std::size_t m_connectedTo = 0;
    std::size_t m_number = 0;
    bool m_reused = false;
    /// The call that waits for its answer; empty: none.
    std::string m_openCall;
};

} // namespace tamarack::soak
