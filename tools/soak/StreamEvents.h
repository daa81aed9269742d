#pragma once

#include <string>
#include <string_view>

namespace tamarack::soak {

/// The events in the body of a stream, as the stand-in of the upstreams writes them.
struct StreamEvents
{
    /// Number of the last whole event; the one before the first if there is none.
    int last = 0;
    /// Software version that wrote the events; empty if they do not name one.
    std::string version;
    /// The events follow each other, belong to the request and name one version; at most the
    /// beginning of one more event follows.
    bool sound = true;
    /// The body ends inside an event.
    bool partial = false;
};

/// Reads the events that answer the request `id`, which goes on after the event `after`.
StreamEvents readStreamEvents(std::string_view body, const std::string &id, int after);

} // namespace tamarack::soak
