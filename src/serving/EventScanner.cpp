#include "serving/EventScanner.h"

#include <algorithm>
#include <charconv>

namespace tamarack {

namespace {

constexpr std::string_view idField = "id:";

/// Length of the first event including its terminating blank line; 0 if the event is incomplete.
std::size_t eventLength(std::string_view text)
{
    const auto plain = text.find("\n\n");
    const auto carriage = text.find("\r\n\r\n");
    const auto plainEnd = plain == std::string_view::npos ? text.size() + 1 : plain + 2;
    const auto carriageEnd = carriage == std::string_view::npos ? text.size() + 1 : carriage + 4;
    const auto end = std::min(plainEnd, carriageEnd);
    return end > text.size() ? 0 : end;
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

std::string_view eventFaultName(EventFault fault)
{
    switch (fault) {
    case EventFault::Gap:
        return "gap";
    case EventFault::NotIncreasing:
        return "not_increasing";
    case EventFault::NoId:
        return "no_id";
    }
    return "unknown";
}

void EventScanner::prepareResume()
{
    m_partial.clear();
    m_skipThrough = m_lastId;
    m_fault.reset();
}

std::string_view EventScanner::feed(std::string_view bytes)
{
    m_complete.clear();
    m_partial.append(bytes);
    std::string_view rest = m_partial;
    for (auto length = eventLength(rest); length > 0; length = eventLength(rest)) {
        processEvent(rest.substr(0, length));
        rest.remove_prefix(length);
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return m_complete;
}

std::optional<EventFault> EventScanner::faultOf(std::optional<std::uint64_t> id) const
{
    if (!id)
        return EventFault::NoId;
    if (*id <= m_received)
        return EventFault::NotIncreasing;
    return *id > m_received + 1 ? std::optional(EventFault::Gap) : std::nullopt;
}

void EventScanner::processEvent(std::string_view event)
{
    const auto id = idOf(event);
    if (id && m_skipThrough && *id <= *m_skipThrough)
        return;
    if (!m_fault)
        m_fault = faultOf(id);
    if (id) {
        m_lastId = id;
        m_received = *id;
    }
    ++m_events;
    m_complete.append(event);
}

} // namespace tamarack
