#include "soak/StreamEvents.h"

#include <algorithm>

namespace tamarack::soak {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view versionMark = " at ";

/// Text of the event up to the version, or up to its end.
std::string eventHead(int number, const std::string &id)
{
    const std::string text = std::to_string(number);
    return "id: " + text + "\ndata: piece-" + text + " of " + id;
}

/// Whether `text` is the beginning of the event with the head `head`, which follows `before`.
bool isBeginning(std::string_view text, const std::string &head, const StreamEvents &before,
                 int after)
{
    std::string expected = head;
    if (!before.version.empty())
        expected.append(versionMark).append(before.version);
    expected += eventEnd;
    if (expected.starts_with(text))
        return true;
    // The first event may name any version.
    if (before.last != after || !text.starts_with(head))
        return false;
    text.remove_prefix(head.size());
    return versionMark.starts_with(text) || text.starts_with(versionMark);
}

} // namespace

StreamEvents readStreamEvents(std::string_view body, const std::string &id, int after)
{
    StreamEvents events;
    events.last = after;
    std::string_view rest = body;
    for (auto end = rest.find(eventEnd); end != std::string_view::npos; end = rest.find(eventEnd)) {
        const std::string head = eventHead(events.last + 1, id);
        std::string_view event = rest.substr(0, end);
        rest.remove_prefix(end + eventEnd.size());
        events.sound = events.sound && event.starts_with(head);
        event.remove_prefix(std::min(head.size(), event.size()));
        if (event.starts_with(versionMark))
            event.remove_prefix(versionMark.size());
        else
            events.sound = events.sound && event.empty();
        const bool first = events.last == after;
        events.sound = events.sound && (first || events.version == event);
        events.version = event;
        ++events.last;
    }
    events.partial = !rest.empty();
    events.sound = events.sound && isBeginning(rest, eventHead(events.last + 1, id), events, after);
    return events;
}

} // namespace tamarack::soak
