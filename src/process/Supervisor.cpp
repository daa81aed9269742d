#include "process/Supervisor.h"

#include "base/AsioPch.h"
#include "base/Log.h"

#include <deque>

namespace tamarack {

namespace asio = boost::asio;

struct Supervisor::Private : std::enable_shared_from_this<Supervisor::Private>
{
    struct Child
    {
        std::string name;
        Component component;
        std::deque<TimePoint> restarts;
    };

    void run(const std::shared_ptr<Child> &child)
    {
        const auto self = shared_from_this();
        asio::co_spawn(executor, child->component(),
                       [self, child](const std::exception_ptr &thrown) {
                           if (thrown)
                               self->failed(child, thrown);
                       });
    }

    void failed(const std::shared_ptr<Child> &child, const std::exception_ptr &thrown)
    {
        std::string reason = "unknown";
        try {
            std::rethrow_exception(thrown);
        } catch (const std::exception &error) {
            reason = error.what();
        }
        logEvent(LogLevel::Error, "component_failed",
                 {{"component", child->name}, {"reason", reason}});
        if (stopping)
            return;
        const TimePoint now = std::chrono::steady_clock::now();
        child->restarts.push_back(now);
        while (now - child->restarts.front() > restartWindow)
            child->restarts.pop_front();
        if (child->restarts.size() > highestRestarts)
            return escalateOnce(child->name);
        restartLater(child);
    }

    void restartLater(const std::shared_ptr<Child> &child)
    {
        auto timer = std::make_shared<asio::steady_timer>(executor, restartDelay);
        timer->async_wait([self = shared_from_this(), child, timer](boost::system::error_code) {
            if (!self->stopping)
                self->run(child);
        });
    }

    void escalateOnce(const std::string &name)
    {
        stopping = true;
        if (const auto callback = std::exchange(escalate, nullptr))
            callback(name);
    }

    asio::any_io_executor executor;
    std::function<void(const std::string &)> escalate;
    bool stopping = false;
};

Supervisor::Supervisor(asio::any_io_executor executor,
                       std::function<void(const std::string &)> escalate)
    : m_private(std::make_shared<Private>())
{
    m_private->executor = std::move(executor);
    m_private->escalate = std::move(escalate);
}

Supervisor::~Supervisor()
{
    stop();
}

void Supervisor::start(std::string name, Component component)
{
    auto child = std::make_shared<Private::Child>();
    child->name = std::move(name);
    child->component = std::move(component);
    m_private->run(child);
}

void Supervisor::stop()
{
    m_private->stopping = true;
}

} // namespace tamarack
