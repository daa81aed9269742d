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

/// Splits the bytes of a server-sent event stream into complete events and tracks their ids, which
/// number the events of a stream from 1.
class EventScanner
{
public:
    /// Appends received bytes and returns all events that are now complete. The result is valid
    /// until the next call.
    std::string_view feed(std::string_view bytes);

    /// Prepares for a stream of which the client already has the events up to `id`.
    void startAfter(std::uint64_t id) { m_received = id; }
    /// Prepares for the stream to be resumed at another upstream: discards the incomplete event of
    /// the previous upstream, and skips events that the client already has.
    void prepareResume();

    /// Id of the last event that was returned.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /// Whether bytes of an incomplete event are buffered.
    bool hasPartial() const { return !m_partial.empty(); }
    /// Whether the incomplete event exceeds the maximum event size.
    bool isOverlong() const { return m_partial.size() > maxEventBytes; }
    std::uint64_t events() const { return m_events; }
    /// The first fault since the start, or since `prepareResume`.
    std::optional<EventFault> fault() const { return m_fault; }

    static constexpr std::size_t maxEventBytes = 256 << 10;

private:
    void processEvent(std::string_view event);
    /// The fault of an event with this id, if it follows the events so far.
    std::optional<EventFault> faultOf(std::optional<std::uint64_t> id) const;

    std::string m_partial;
    std::string m_complete;
    /// Id of the last event that the client has; 0 if it has none.
    std::uint64_t m_received = 0;
    std::optional<std::uint64_t> m_lastId;
    std::optional<std::uint64_t> m_skipThrough;
    std::uint64_t m_events = 0;
    std::optional<EventFault> m_fault;
};

} // namespace tamarack
