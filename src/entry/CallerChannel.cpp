#include "entry/CallerChannel.h"

#include "base/AsioPch.h"

#include <deque>

namespace tamarack {

namespace asio = boost::asio;

struct CallerChannel::Private
{
    explicit Private(const asio::any_io_executor &channelExecutor)
        : executor(channelExecutor)
        , wake(channelExecutor, asio::steady_timer::time_point::max())
    {}

    asio::any_io_executor executor;
    asio::steady_timer wake;
    std::deque<CallerEvent> events;
};

CallerChannel::CallerChannel(asio::any_io_executor executor)
    : m_private(std::make_shared<Private>(executor))
{}

CallerChannel::~CallerChannel() = default;

void CallerChannel::push(std::vector<CallerEvent> events)
{
    asio::post(m_private->executor, [p = m_private, events = std::move(events)]() mutable {
        std::move(events.begin(), events.end(), std::back_inserter(p->events));
        p->wake.cancel();
    });
}

asio::awaitable<CallerEvent> CallerChannel::next()
{
    const auto p = m_private;
    while (p->events.empty())
        co_await p->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    CallerEvent event = std::move(p->events.front());
    p->events.pop_front();
    co_return event;
}

} // namespace tamarack
