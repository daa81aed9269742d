#pragma once

#include "base/Time.h"
#include "http/HttpServer.h"
#include "serving/EventScanner.h"
#include "serving/RequestFacts.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack {

/// Status, headers and body of an upstream's response.
struct UpstreamResponse
{
    int status = 0;
    ResponseFacts facts;
    /// Empty for an event stream, whose events are forwarded to the client as they arrive.
    std::string body;
};

/// Relays the response of one request to its client. A stream may be continued by a retry, so one
/// relay serves all attempts of the request.
class ResponseRelay
{
public:
    explicit ResponseRelay(HttpExchange &exchange);

    /// Prepares for a stream of which the client already has the events up to `id`.
    void startAfter(std::uint64_t id) { m_events.startAfter(id); }
    /// Prepares for a response that begins the stream or goes on with it: discards the incomplete
    /// event of the earlier attempt and skips events that have already been delivered.
    void startResponse() { m_events.startResponse(); }
    /// Appends received bytes and returns the events completed so far, without those already
    /// delivered, up to the first one that does not follow them. Valid until the next call.
    std::string_view takeEvents(std::string_view bytes) { return m_events.feed(bytes); }
    /// Sends events to the client; the first call sends the status and headers of `answer` before
    /// them. Returns false when the client has disconnected.
    boost::asio::awaitable<bool> forward(std::string_view events, const UpstreamResponse &answer);
    /// Finishes a stream that has started, or sends the complete response. Returns false when the
    /// client has disconnected.
    boost::asio::awaitable<bool> deliver(UpstreamResponse answer, bool streams);
    /// Closes the connection without ending the response, so that the client cannot mistake a
    /// truncated response for a complete one.
    void abort();

    /// Whether a response with this head may go on with the stream that has been started. One with
    /// another status or media type, such as an error, has no part of it.
    bool isContinuedBy(const UpstreamResponse &answer) const;

    /// Whether part of the response has been sent to the client.
    bool started() const { return m_started; }
    const EventScanner &events() const { return m_events; }
    /// Longest time between two sends of events to the client.
    Duration longestPause() const { return m_longestPause; }

private:
    HttpExchange &m_exchange;
    EventScanner m_events;
    bool m_started = false;
    /// Of the response that started the stream.
    int m_status = 0;
    std::string m_mediaType;
    TimePoint m_lastForwardAt{};
    Duration m_longestPause{};
};

} // namespace tamarack
