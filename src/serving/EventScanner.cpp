#include "serving/EventScanner.h"

#include <algorithm>
#include <charconv>
#include <concepts>

namespace tamarack {

namespace {

constexpr std::string_view idField = "id:";
constexpr std::string_view dataField = "data:";

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

/// Calls `use` with the value of each field of the name.
template <std::invocable<std::string_view> Use>
void forEachField(std::string_view event, std::string_view name, Use use)
{
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(name))
            continue;
        line.remove_prefix(name.size());
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        use(line);
    }
}

/// The id of the event; none if it has none, several, or one that is not a number.
std::optional<std::uint64_t> idOf(std::string_view event)
{
    std::optional<std::uint64_t> found;
    int fields = 0;
    forEachField(event, idField, [&](std::string_view value) {
        std::uint64_t id = 0;
        const char *last = value.data() + value.size();
        const auto [end, error] = std::from_chars(value.data(), last, id);
        ++fields;
        if (error == std::errc() && end == last)
            found = id;
    });
    return fields == 1 ? found : std::nullopt;
}

/// Whether the block has content for the client. Others are comments that keep a connection alive.
bool isEvent(std::string_view block)
{
    bool found = false;
    const auto mark = [&found](std::string_view) { found = true; };
    forEachField(block, dataField, mark);
    forEachField(block, idField, mark);
    return found;
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

void EventScanner::startResponse()
{
    m_partial.clear();
    m_progressed = false;
    m_fault.reset();
    m_faultId.reset();
}

std::string_view EventScanner::feed(std::string_view bytes)
{
    m_complete.clear();
    m_partial.append(bytes);
    std::string_view rest = m_partial;
    for (auto length = eventLength(rest); length > 0 && !m_fault; length = eventLength(rest)) {
        processEvent(rest.substr(0, length));
        rest.remove_prefix(length);
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return m_complete;
}

std::optional<EventFault> EventScanner::faultOf(std::optional<std::uint64_t> id) const
{
    const std::uint64_t last = m_lastId.value_or(0);
    if (!id)
        return EventFault::NoId;
    if (*id <= last)
        return EventFault::NotIncreasing;
    return *id > last + 1 ? std::optional(EventFault::Gap) : std::nullopt;
}

void EventScanner::processEvent(std::string_view event)
{
    if (!isEvent(event)) {
        m_complete.append(event);
        return;
    }
    const auto id = idOf(event);
    const bool isKnown = !m_progressed && id && m_lastId && *id <= *m_lastId;
    if (isKnown)
        return;
    m_fault = faultOf(id);
    if (m_fault) {
        m_faultId = id;
        return;
    }
    m_lastId = id;
    m_progressed = true;
    ++m_events;
    m_complete.append(event);
}

} // namespace tamarack
