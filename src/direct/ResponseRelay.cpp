#include "direct/ResponseRelay.h"

#include "base/AsioPch.h"
#include "process/Timers.h"

#include <algorithm>

#include <boost/algorithm/string.hpp>

namespace tamarack {

namespace asio = boost::asio;

namespace {

/// The media type without its parameters; empty if the response states none.
std::string mediaType(const UpstreamResponse &answer)
{
    const auto type = findHeader(answer.facts.forwarded, "Content-Type").value_or("");
    return boost::trim_copy(std::string(type.substr(0, type.find(';'))));
}

} // namespace

ResponseRelay::ResponseRelay(HttpExchange &exchange)
    : m_exchange(exchange)
{}

asio::awaitable<bool> ResponseRelay::forward(std::string_view events,
                                             const UpstreamResponse &answer)
{
    const TimePoint now = steadyNow();
    if (m_started)
        m_longestPause = std::max(m_longestPause, now - m_lastForwardAt);
    m_lastForwardAt = now;
    if (!m_started) {
        m_started = true;
        m_status = answer.status;
        m_mediaType = mediaType(answer);
        const bool started = co_await m_exchange.startStream(answer.status, answer.facts.forwarded);
        if (!started)
            co_return false;
    }
    co_return co_await m_exchange.write(events);
}

bool ResponseRelay::isContinuedBy(const UpstreamResponse &answer) const
{
    return answer.status == m_status && boost::iequals(mediaType(answer), m_mediaType);
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
