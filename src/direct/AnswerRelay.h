#pragma once

#include "http/HttpServer.h"
#include "serving/EventScanner.h"
#include "serving/RequestFacts.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>

namespace tamarack {

/// The head and body of an upstream's answer.
struct HeldAnswer
{
    int status = 0;
    ResponseFacts facts;
    /// Empty while the events of a stream pass to the client as they come.
    std::string body;
};

/// The answer of one request on its way to the client, over all its attempts.
class AnswerRelay
{
public:
    explicit AnswerRelay(HttpExchange &exchange);

    /// A further attempt goes on where the earlier one broke off.
    void restartStream() { m_events.prepareResume(); }
    /// The whole events among what has come, without those that the client has. Valid until the
    /// next call.
    std::string_view takeEvents(std::string_view bytes) { return m_events.feed(bytes); }
    /// Sends events; the first start the answer with the head of `answer`. False when the client is
    /// gone.
    boost::asio::awaitable<bool> forward(std::string_view events, const HeldAnswer &answer);
    /// Ends a stream that has started, or sends the whole answer. False when the client is gone.
    boost::asio::awaitable<bool> deliver(HeldAnswer answer, bool streams);
    /// Ends the connection, so that the part that was sent cannot pass for whole.
    void abort();

    /// Part of the answer has been sent.
    bool started() const { return m_started; }
    const EventScanner &events() const { return m_events; }

private:
    HttpExchange &m_exchange;
    EventScanner m_events;
    bool m_started = false;
};

} // namespace tamarack
