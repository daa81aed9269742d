#pragma once

#include "base/Time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace tamarack {

/// Bounds the memory and the connections that all clients of a process hold together: heads and
/// bodies of requests, bytes sent ahead, and answers that are not read.
///
/// Answers crowds of clients that send much and stop, or read nothing: when memory or connections
/// are short, it evicts those that hold most and have moved least, from the addresses that hold
/// most, and never a request that may have run. What came last is refused only if nothing else can
/// go. Thread-safe; reads no clock.
class ConnectionBudget
{
public:
    struct Limits
    {
        std::size_t bytes = 0;
        std::size_t connections = 0;
    };

    /// What a connection waits for. Only `Serving` depends on the process itself, so that such a
    /// connection is not evicted.
    enum class Phase : std::uint8_t { Idle, Receiving, Serving, Sending };

    /// What a connection holds at least: its buffers and the state of its requests.
    static constexpr std::size_t connectionBytes = 8 << 10;

    /// One connection, from when it is accepted until its memory is free.
    class Share
    {
    public:
        /// Calls `evict` at most once for each eviction, on any thread and with the budget locked:
        /// it must only schedule the end of the connection.
        Share(ConnectionBudget &budget, std::string source, TimePoint now,
              std::function<void()> evict);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// Whether there was room for the connection.
        bool isAdmitted() const { return m_admitted; }
        /// Bytes moved, or the connection waits for something else.
        void enter(Phase phase, TimePoint now);
        /// The request is being served.
        void serve() { m_phase.store(Phase::Serving, std::memory_order_relaxed); }
        /// Whether the connection may hold `bytes` more than `connectionBytes`. It may not if it
        /// would have to be evicted itself, or was.
        bool tryHold(std::size_t bytes, TimePoint now);
        /// Holds `bytes` that are there already, such as an answer that is ready.
        void hold(std::size_t bytes, TimePoint now);
        /// Takes an eviction back that came too late: the request is being served.
        void readmit();

    private:
        friend class ConnectionBudget;

        ConnectionBudget &m_budget;
        std::string m_source;
        std::function<void()> m_evict;
        std::atomic<Phase> m_phase{Phase::Idle};
        std::atomic<TimePoint> m_movedAt;
        // Guarded by the budget's mutex.
        std::size_t m_bytes = connectionBytes;
        std::size_t m_index = 0;
        bool m_evicted = false;
        bool m_admitted = false;
    };

    struct Usage
    {
        std::size_t bytes = 0;
        std::size_t connections = 0;
        std::uint64_t evicted = 0;
        std::uint64_t refused = 0;
    };

    explicit ConnectionBudget(Limits limits);
    ConnectionBudget(const ConnectionBudget &) = delete;
    ConnectionBudget &operator=(const ConnectionBudget &) = delete;

    Usage usage() const;

private:
    bool admit(Share &share, TimePoint now);
    void remove(Share &share);
    bool resize(Share &share, std::size_t bytes, TimePoint now, bool mayRefuse);
    void readmit(Share &share);
    void account(Share &share, std::size_t bytes);
    void evict(Share &share);
    /// The share to evict first; null if there is none.
    Share *heaviest(TimePoint now);
    bool isSmall(std::size_t bytes) const;

    const Limits m_limits;
    mutable std::mutex m_mutex;
    std::vector<Share *> m_shares;
    /// Connections that were evicted and are still open.
    std::size_t m_ending = 0;
    std::map<std::string, std::size_t, std::less<>> m_bytesBySource;
    Usage m_usage;
};

} // namespace tamarack
