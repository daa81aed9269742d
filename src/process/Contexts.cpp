#include "process/Contexts.h"

#include "base/AsioPch.h"

#include <algorithm>

namespace tamarack {

Contexts::Contexts(std::size_t trafficThreads)
{
    m_guards.emplace_back(m_control.get_executor());
    for (std::size_t i = 0; i < trafficThreads; ++i) {
        auto &context = *m_owned.emplace_back(std::make_unique<boost::asio::io_context>(1));
        m_traffic.push_back(&context);
        m_guards.emplace_back(context.get_executor());
        m_threads.emplace_back([&context] { context.run(); });
    }
}

Contexts::~Contexts()
{
    stop();
}

boost::asio::io_context &Contexts::nextTraffic()
{
    return *m_traffic[m_next++ % m_traffic.size()];
}

void Contexts::run()
{
    m_control.run();
    stop();
    m_threads.clear();
}

void Contexts::stop()
{
    m_control.stop();
    std::ranges::for_each(m_traffic, [](auto *context) { context->stop(); });
}

} // namespace tamarack
