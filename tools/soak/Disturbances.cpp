#include "soak/Disturbances.h"

#include <algorithm>

namespace tamarack::soak {

bool Disturbances::Span::overlaps(TimePoint start, TimePoint end, Duration aftermath) const
{
    return from <= end && (to == TimePoint::max() || to + aftermath >= start);
}

Disturbances::Handle Disturbances::begin(Scope scope, std::size_t index, TimePoint now)
{
    m_spans.push_back({scope, index, now});
    return m_spans.size() - 1;
}

void Disturbances::end(Handle handle, TimePoint now)
{
    m_spans.at(handle).to = now;
}

bool Disturbances::touched(Scope scope, std::optional<std::size_t> index, TimePoint from,
                           TimePoint to, Duration aftermath) const
{
    return std::ranges::any_of(m_spans, [&](const Span &span) {
        return span.scope == scope && (!index || span.index == *index)
               && span.overlaps(from, to, aftermath);
    });
}

bool Disturbances::inTouch(std::size_t entry, TimePoint from, TimePoint to,
                           Duration aftermath) const
{
    return !touched(Scope::Process, entry, from, to, aftermath)
           && !touched(Scope::StoreLink, entry, from, to, aftermath)
           && !touched(Scope::Store, std::nullopt, from, to, aftermath);
}

} // namespace tamarack::soak
