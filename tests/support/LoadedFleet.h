#pragma once

#include "base/Time.h"
#include "model/StoreServer.h"
#include "model/UpstreamServer.h"
#include "support/DirectEntry.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace tamarack::harness {

/// Four direct entries in front of two upstreams of one service that send statements about
/// themselves, under steady load at every entry.
class LoadedFleet
{
public:
    LoadedFleet();
    ~LoadedFleet();
    LoadedFleet(const LoadedFleet &) = delete;
    LoadedFleet &operator=(const LoadedFleet &) = delete;

    standin::UpstreamServer &upstream(std::size_t number) { return *m_upstreams.at(number).server; }
    /// Arrival times of the requests that the upstream ran, in order.
    std::vector<TimePoint> arrivals(std::size_t upstream) const;
    /// Replaces the upstream's store object by that of another incarnation at the same address.
    void listIncarnation(std::size_t upstream, std::uint64_t born);
    int sent() const { return m_sent; }
    /// Number of requests that succeeded.
    int served() const { return m_served; }

    static constexpr std::size_t entryCount = 4;
    static constexpr std::size_t upstreamCount = 2;

private:
    struct Upstream
    {
        std::unique_ptr<standin::UpstreamServer> server;
        std::vector<TimePoint> arrivals;
    };

    void sendRequest(const DirectEntry &entry);

    boost::asio::io_context m_serverContext;
    standin::StoreServer m_store;
    std::array<Upstream, upstreamCount> m_upstreams;
    std::array<DirectEntry, entryCount> m_entries;
    mutable std::mutex m_mutex;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_sent{0};
    std::atomic<int> m_served{0};
    std::jthread m_serverThread;
    std::vector<std::jthread> m_clients;
};

/// Largest number of the sorted times within any window of `length` that ends at one of them not
/// before `from`.
std::size_t maxWithin(const std::vector<TimePoint> &times, Duration length, TimePoint from);

} // namespace tamarack::harness
