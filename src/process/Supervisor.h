#pragma once

#include "base/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// Runs the long-lived components of a process and restarts those that fail. Too many restarts
/// in a short time are escalated to the owner. Belongs to one executor.
class Supervisor
{
public:
    using Component = std::function<boost::asio::awaitable<void>()>;

    /// `escalate` is called once, with the component's name.
    Supervisor(boost::asio::any_io_executor executor,
               std::function<void(const std::string &)> escalate);
    ~Supervisor();
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    /// Starts a component. One that returns normally is finished, one that throws is restarted.
    void start(std::string name, Component component);

    /// No component is restarted any more.
    void stop();

    static constexpr int highestRestarts = 5;
    static constexpr milliseconds restartWindow{10'000};
    static constexpr milliseconds restartDelay{100};

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
