#pragma once

#include "base/StorePosition.h"
#include "serving/UpstreamRecord.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tamarack {

/// The state of an upstream after a change.
struct UpstreamChange
{
    /// Only the id is set if the upstream was removed.
    UpstreamRecord record;
    bool removed = false;

    bool operator==(const UpstreamChange &) const = default;
};

/// Upstream changes between two positions of the same era: after `since`, up to `position`.
struct UpstreamDelta
{
    StorePosition since;
    StorePosition position;
    std::vector<UpstreamChange> changes;

    bool operator==(const UpstreamDelta &) const = default;
};

/// How an entry learned of a change to the upstreams.
enum class UpstreamSource : std::uint8_t { Listing, OwnWatch, Relay };

/// Recent upstream changes in order, kept so that a follower of the store can relay them. Positions
/// are assigned by the store and identical for all entries. An entry that knows the upstreams as of
/// `since`, or as of any later position up to `position`, knows them as of `position` after
/// applying the whole delta. All changes are of one era.
///
/// Sized for a rolling release that replaces upstreams one by one in a fleet of a hundred entries.
class UpstreamLog
{
public:
    /// The upstreams were listed afresh at `position`; the changes leading to it are unknown.
    void restart(StorePosition position);
    void append(UpstreamDelta delta);

    /// The position up to which the upstreams are known.
    StorePosition position() const { return m_position; }
    /// Returns the changes after `position`; none if it is of another era, if the log does not
    /// reach back that far or if there are too many changes for one message.
    std::optional<UpstreamDelta> since(StorePosition position) const;

    static constexpr std::size_t maxRetainedChanges = 1000;
    static constexpr std::size_t maxRelayedChanges = 200;

private:
    std::deque<UpstreamDelta> m_deltas;
    std::size_t m_retainedChanges = 0;
    /// The log holds all changes after this position.
    StorePosition m_floor;
    StorePosition m_position;
};

} // namespace tamarack
