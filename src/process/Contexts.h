#pragma once

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <span>
#include <thread>
#include <vector>

namespace tamarack {

/// The threads of a process: one context for control state, which its owner runs, and a
/// number of traffic contexts with a thread each.
class Contexts
{
public:
    explicit Contexts(std::size_t trafficThreads);
    ~Contexts();
    Contexts(const Contexts &) = delete;
    Contexts &operator=(const Contexts &) = delete;

    boost::asio::io_context &control() { return m_control; }
    std::span<boost::asio::io_context *const> traffic() const { return m_traffic; }
    /// A traffic context, in turn.
    boost::asio::io_context &nextTraffic();

    /// Runs the control context on this thread until `stop`.
    void run();
    void stop();

private:
    using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    boost::asio::io_context m_control{1};
    std::vector<std::unique_ptr<boost::asio::io_context>> m_owned;
    std::vector<boost::asio::io_context *> m_traffic;
    std::vector<Guard> m_guards;
    std::vector<std::jthread> m_threads;
    std::size_t m_next = 0;
};

} // namespace tamarack
