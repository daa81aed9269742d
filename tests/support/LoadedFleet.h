#pragma once

#include "base/Time.h"
#include "model/LinkRelay.h"
#include "model/StoreServer.h"
#include "model/UpstreamServer.h"
#include "support/DirectEntry.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>
#include <thread>
#include <vector>

namespace tamarack::harness {

/// Four direct entries in front of the upstreams of one service, under steady load at every entry.
/// The upstreams make statements about themselves, and crash when they run a request whose prompt
/// has the crashing part.
class LoadedFleet
{
public:
    explicit LoadedFleet(std::size_t upstreamCount = 2);
    ~LoadedFleet();
    LoadedFleet(const LoadedFleet &) = delete;
    LoadedFleet &operator=(const LoadedFleet &) = delete;

    standin::UpstreamServer &upstream(std::size_t number) { return *m_upstreams.at(number).server; }
    /// Arrival times of the requests that the upstream ran, in order.
    std::vector<TimePoint> arrivals(std::size_t upstream) const;
    /// Sends a request with the crashing part to each entry in turn, at this interval. Its other
    /// shared part is that of all requests.
    void sendCrashingRequests(milliseconds interval);
    /// Times at which upstreams began to run requests with the crashing part, each of which ended
    /// its upstream.
    std::vector<TimePoint> crashes() const;
    /// All upstreams end at the same moment, for reasons of their own.
    void crashAll();
    /// Replaces the upstream's store object by that of another incarnation at the same address.
    void listIncarnation(std::size_t upstream, std::uint64_t born);
    int sent() const { return m_sent; }
    /// Number of requests that succeeded.
    int served() const { return m_served; }

    static constexpr std::size_t entryCount = 4;

private:
    struct Upstream
    {
        std::unique_ptr<standin::UpstreamServer> server;
        std::unique_ptr<standin::LinkRelay> link;
        std::vector<TimePoint> arrivals;
        std::uint64_t born = 0;
        bool down = false;
    };

    void addUpstream(std::size_t number);
    void countRun(std::size_t number, const HttpRequest &request);
    /// Ends the upstream; a new incarnation is back after a while.
    boost::asio::awaitable<void> crash(std::size_t number);
    void listUpstream(std::size_t number);
    /// Sends a request whose prompt has the parts. Returns whether it succeeded.
    bool sendRequest(const DirectEntry &entry, std::string_view sharedPart);

    boost::asio::io_context m_serverContext;
    standin::StoreServer m_store;
    std::vector<Upstream> m_upstreams;
    std::array<DirectEntry, entryCount> m_entries;
    mutable std::mutex m_mutex;
    std::atomic<bool> m_stopping{false};
    std::vector<TimePoint> m_crashes;
    std::atomic<int> m_sent{0};
    std::atomic<int> m_lastRequest{0};
    std::atomic<int> m_served{0};
    std::jthread m_serverThread;
    /// Ends the server thread also when the constructor throws.
    struct ContextStopper
    {
        ~ContextStopper() { context.stop(); }
        boost::asio::io_context &context;
    };
    ContextStopper m_serverStopper{m_serverContext};
    std::vector<std::jthread> m_clients;
};

/// Largest number of the sorted times within any window of `length` that ends at one of them not
/// before `from`.
std::size_t maxWithin(const std::vector<TimePoint> &times, Duration length, TimePoint from);

} // namespace tamarack::harness
