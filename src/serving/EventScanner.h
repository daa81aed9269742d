#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// Splits the bytes of a server-sent event stream into complete events and tracks their ids.
class EventScanner
{
public:
    /// Appends received bytes and returns all events that are now complete. The result is valid
    /// until the next call.
    std::string_view feed(std::string_view bytes);

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

    static constexpr std::size_t maxEventBytes = 256 << 10;

private:
    void processEvent(std::string_view event);

    std::string m_partial;
    std::string m_complete;
    std::optional<std::uint64_t> m_lastId;
    std::optional<std::uint64_t> m_skipThrough;
    std::uint64_t m_events = 0;
};

} // namespace tamarack
