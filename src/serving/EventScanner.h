#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// Splits the bytes of an event stream into whole events and follows their ids.
class EventScanner
{
public:
    /// Takes bytes as they arrive and returns the whole events among what has come so far.
    /// Valid until the next call.
    std::string_view take(std::string_view bytes);

    /// The stream goes on at another upstream: drops the event that the earlier one broke off, and
    /// events that the client has already.
    void restart();

    /// Id of the last whole event that was returned.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /// Bytes of an event that has not ended.
    bool hasPartial() const { return !m_partial.empty(); }
    /// The event that has not ended is longer than any event may be.
    bool isOverlong() const { return m_partial.size() > largestEvent; }
    std::uint64_t events() const { return m_events; }

    static constexpr std::size_t largestEvent = 256 << 10;

private:
    void takeEvent(std::string_view event);

    std::string m_partial;
    std::string m_whole;
    std::optional<std::uint64_t> m_lastId;
    std::optional<std::uint64_t> m_skipThrough;
    std::uint64_t m_events = 0;
};

} // namespace tamarack
