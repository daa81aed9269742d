#include "direct/AnswerRelay.h"

#include "base/AsioPch.h"

namespace tamarack {

namespace asio = boost::asio;

AnswerRelay::AnswerRelay(HttpExchange &exchange)
    : m_exchange(exchange)
{}

asio::awaitable<bool> AnswerRelay::forward(std::string_view events, const UpstreamResponse &answer)
{
    if (!m_started) {
        m_started = true;
        const bool started = co_await m_exchange.startStream(answer.status, answer.facts.forwarded);
        if (!started)
            co_return false;
    }
    co_return co_await m_exchange.write(events);
}

asio::awaitable<bool> AnswerRelay::deliver(UpstreamResponse answer, bool streams)
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

void AnswerRelay::abort()
{
    m_exchange.abort();
}

} // namespace tamarack
