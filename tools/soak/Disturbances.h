#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace tamarack::soak {

/// What a fault touches.
enum class Scope : std::uint8_t { Process, Store, StoreLink, Upstream };

/// When which part of the system was disturbed, so that checks hold the system to what it could
/// know and do.
class Disturbances
{
public:
    using Handle = std::size_t;

    Handle begin(Scope scope, std::size_t index, TimePoint now);
    void end(Handle handle, TimePoint now);

    /// Whether the part, or any of the scope, was disturbed at some time from `from` to `to`; a
    /// disturbance counts for `aftermath` beyond its end.
    bool touched(Scope scope, std::optional<std::size_t> index, TimePoint from, TimePoint to,
                 Duration aftermath = {}) const;
    /// Whether an entry ran and had a sound way to the store all the time.
    bool inTouch(std::size_t entry, TimePoint from, TimePoint to, Duration aftermath) const;

private:
    struct Span
    {
        Scope scope = Scope::Process;
        std::size_t index = 0;
        TimePoint from;
        TimePoint to = TimePoint::max();

        bool overlaps(TimePoint start, TimePoint end, Duration aftermath) const;
    };

    std::vector<Span> m_spans;
};

} // namespace tamarack::soak
