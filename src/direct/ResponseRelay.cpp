#include "direct/ResponseRelay.h"

#include "base/AsioPch.h"

namespace tamarack {

namespace asio = boost::asio;

ResponseRelay::ResponseRelay(HttpExchange &exchange)
    : m_exchange(exchange)
{}

asio::awaitable<bool> ResponseRelay::forward(std::string_view events,
                                             const UpstreamResponse &answer)
{
    if (!m_started) {
        m_started = true;
        const bool started = co_await m_exchange.startStream(answer.status, answer.facts.forwarded);
        if (!started)
            co_return false;
    }
    co_return co_await m_exchange.write(events);
}

asio::awaitable<bool> ResponseRelay::deliver(UpstreamResponse answer, bool streams)
{
    if (m_started)
        co_return co_await m_exchange.finish();
    if (!streams || !answer.body.empty()) {
        HttpResponse response{answer.status, std::move(answer.facts.forwarded),
                              std::move(answer.body)};
        co_return co_await m_exchange.respond(std::move(response));
    }
    co_await m_exchange.startStream(answer.status, answer.facts.forwarded);
    co_return co_await m_exchange.finish();
}

void ResponseRelay::abort()
{
    m_exchange.abort();
}

} // namespace tamarack
