#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// How an event departs from the sequence of its stream.
enum class EventFault : std::uint8_t {
    /// At least one event before it is missing.
    Gap,
    /// Its id is not above the id of the event before it.
    NotIncreasing,
    /// It has no id, or one that is not a number.
    NoId,
};

std::string_view eventFaultName(EventFault fault);

/// Splits the bytes of a server-sent event stream into complete events and checks that they follow
/// each other: the events of a stream are numbered from 1.
class EventScanner
{
public:
    /// Appends received bytes and returns all events that are now complete, up to the first one
    /// with a fault. The result is valid until the next call.
    std::string_view feed(std::string_view bytes);

    /// Prepares for a stream of which the client already has the events up to `id`.
    void startAfter(std::uint64_t id) { m_lastId = id; }
    /// Prepares for a response that begins the stream or goes on with it: discards the incomplete
    /// event of the previous upstream, and skips events that the client already has.
    void startResponse();

    /// Id of the last event that the client has; none if it has no event.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /// Whether bytes of an incomplete event are buffered.
    bool hasPartial() const { return !m_partial.empty(); }
    /// Whether the incomplete event exceeds the maximum event size.
    bool isOverlong() const { return m_partial.size() > maxEventBytes; }
    std::uint64_t events() const { return m_events; }
    /// Whether the response has brought an event that the client did not have.
    bool hasProgressed() const { return m_progressed; }
    /// The fault of the response's events, if they have one.
    std::optional<EventFault> fault() const { return m_fault; }
    /// Id of the event with the fault, if it has one.
    std::optional<std::uint64_t> faultId() const { return m_faultId; }

    static constexpr std::size_t maxEventBytes = 256 << 10;

private:
    void processEvent(std::string_view event);
    std::optional<EventFault> faultOf(std::optional<std::uint64_t> id) const;

    std::string m_partial;
    std::string m_complete;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
    bool m_progressed = false;
    std::optional<EventFault> m_fault;
    std::optional<std::uint64_t> m_faultId;
};

} // namespace tamarack
