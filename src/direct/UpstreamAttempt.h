#pragma once

#include "direct/ResponseRelay.h"
#include "direct/TrafficState.h"
#include "serving/AttemptPolicy.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

class AttemptRace;

/// The input of one attempt: the request to send, its deadline and the expected kind of response.
struct AttemptRequest
{
    const HttpRequest &incoming;
    const RequestFacts &facts;
    std::string workspace;
    TimePoint deadlineAt;
    /// A successful response is an event stream.
    bool streams = false;
    /// No earlier attempt has sent this request.
    bool first = true;
    /// It may be sent although its prompt has a quarantined part.
    bool isTrial = false;
    /// Service whose retry budget is charged unless this is the first attempt.
    std::string service;
    /// Identifies a new stream that clients may resume.
    std::optional<StreamKey> newStream;
    /// It goes on with a stream, which only the software version that began it may do.
    bool continuesStream = false;
    /// Decides which of several attempts delivers its response; null if there is only this one.
    AttemptRace *race = nullptr;
};

/// One attempt to serve a request at the upstream that the queue assigned: connects, sends the
/// request and reads the response. Events of a stream are forwarded to the client as they arrive;
/// any other response is buffered completely. Feeds the measured latencies into the upstream's
/// speed estimates.
class UpstreamAttempt
{
public:
    UpstreamAttempt(TrafficState &state, const Assignment &assignment, ResponseRelay &relay,
                    AttemptRequest request);

    /// Runs the attempt to its end, then returns the connection to the pool or closes it.
    boost::asio::awaitable<AttemptEnd> run();
    /// Aborts the attempt by closing its connection.
    void cancel();

    /// The request was passed to a connection for sending.
    bool sent() const { return m_sent; }
    /// Not sent, because since the assignment the upstream has reported that it accepts no
    /// requests, another incarnation was listed or found, a part of the prompt has been
    /// quarantined, or its software version has been withheld.
    bool withheld() const { return m_withheld; }
    bool cancelled() const { return m_cancelled; }
    bool reusedConnection() const { return m_reusedConnection; }
    bool clientGone() const { return m_clientGone; }
    /// When the first event, or the complete response of another kind, had been received.
    std::optional<TimePoint> firstTokenAt() const { return m_firstTokenAt; }
    /// Time from the send to the first token.
    std::optional<Duration> firstTokenTime() const
    {
        return m_firstTokenAt ? std::optional(*m_firstTokenAt - m_sentAt) : std::nullopt;
    }
    const UpstreamResponse &response() const { return m_response; }
    /// The origin of the stream, if this attempt has brought its first event.
    const std::optional<StreamOrigin> &origin() const { return m_origin; }
    UpstreamResponse takeResponse() { return std::move(m_response); }

private:
    boost::asio::awaitable<AttemptEnd> sendAndRead();
    boost::asio::awaitable<std::shared_ptr<UpstreamConnection>> connect();
    /// Asks the process at the other end.
    boost::asio::awaitable<ProcessIdentity>
    askProcess(std::shared_ptr<UpstreamConnection> connection);
    /// Whether the request depends on what the connected process is: it goes on with a stream, or
    /// begins one while the process may not be the listed incarnation.
    bool needsIdentity() const;
    /// Whether the connected process may get the request. May replace the connection.
    boost::asio::awaitable<bool> admitsProcess();
    HttpRequest outgoing() const;
    /// Reads response heads until one belongs to this request.
    boost::asio::awaitable<AttemptEnd> readResponse();
    /// Whether the head read last belongs to this request.
    bool isOwnResponse() const;
    /// Reads the rest of a response that is not delivered. Returns false if the connection is of no
    /// use any more.
    boost::asio::awaitable<bool> skipResponse();
    AttemptEnd classifyHead() const;
    /// Whether no other attempt of the request delivers its response.
    bool mayDeliver();
    boost::asio::awaitable<AttemptEnd> relayStream();
    /// Records what the first event and the pace of the stream show.
    void recordEvents();
    /// Logs how the events of the response depart from the sequence of the stream.
    void reportEventFault() const;
    boost::asio::awaitable<AttemptEnd> bufferResponse(AttemptEnd headOutcome);
    /// Appends to the body; returns false if there is no memory for it.
    bool appendToBody(std::string_view piece);
    /// Whether the received response is complete. If only the end of the connection shows that, the
    /// process must respond to another request: one that is killed closes its connections, too, and
    /// its kernel may accept new ones until it has ended.
    boost::asio::awaitable<bool> confirmEnd();
    void recordFirstToken();
    /// Measures the engine's pace if the stream has made at least `minEvents` new events.
    void recordPace(std::uint64_t minEvents);
    void releaseConnection(AttemptEnd end);

    TrafficState &m_state;
    Assignment m_assignment;
    ResponseRelay &m_relay;
    AttemptRequest m_request;
    std::shared_ptr<UpstreamConnection> m_connection;
    UpstreamResponse m_response;
    /// The memory of the response's body.
    std::optional<BufferBudget::Share> m_bodyMemory;
    TimePoint m_sentAt{};
    std::optional<TimePoint> m_firstTokenAt;
    std::optional<StreamOrigin> m_origin;
    /// Time and number of events at the last measurement of the pace.
    std::optional<TimePoint> m_paceSampledAt;
    std::uint64_t m_paceSampledEvents = 0;
    bool m_sent = false;
    bool m_withheld = false;
    /// The process reported to be the listed incarnation.
    bool m_identified = false;
    bool m_reusedConnection = false;
    bool m_cancelled = false;
    bool m_clientGone = false;
};

} // namespace tamarack
