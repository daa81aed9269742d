#pragma once

#include "http/HttpServer.h"
#include "model/PlatformStore.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace tamarack::standin {

/// How the store stand-in treats calls.
enum class StoreMood { Well, Unavailable, Busy, Silent };

/// Serves the platform's store model over the published protocol, with faults on demand.
class StoreServer
{
public:
    /// Port 0 stands for any.
    StoreServer(boost::asio::io_context &context, unsigned short port);

    unsigned short port() const;

    /// Calls `change` on the model while no call is served.
    template <typename Change>
    void with(Change change)
    {
        const std::lock_guard lock(m_mutex);
        change(m_store);
    }

    std::atomic<StoreMood> mood{StoreMood::Well};
    std::atomic<int> calls{0};
    /// Calls among them whose answer may be old; this store answers them like the others.
    std::atomic<int> staleCalls{0};

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    boost::asio::awaitable<void> watch(HttpExchange &exchange, std::string kind);
    PlatformStore::Answer act(const HttpRequest &request);

    std::mutex m_mutex;
    PlatformStore m_store{2};
    std::unique_ptr<HttpServer> m_server;
};

} // namespace tamarack::standin
