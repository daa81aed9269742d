#pragma once

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

/// Upstream changes between two revisions of the store: after `since`, up to `revision`.
struct UpstreamDelta
{
    std::uint64_t since = 0;
    std::uint64_t revision = 0;
    std::vector<UpstreamChange> changes;

    bool operator==(const UpstreamDelta &) const = default;
};

/// How an entry learned of a change to the upstreams.
enum class UpstreamSource : std::uint8_t { Listing, OwnWatch, Relay };

/// Recent upstream changes in order, kept so that a follower of the store can relay them. Revisions
/// are assigned by the store and identical for all entries. An entry that knows the upstreams as of
/// `since`, or as of any later revision up to `revision`, knows them as of `revision` after
/// applying the whole delta.
///
/// Sized for a rolling release that replaces upstreams one by one in a fleet of a hundred entries.
class UpstreamLog
{
public:
    /// The upstreams were listed afresh at `revision`; the changes leading to it are unknown.
    void restart(std::uint64_t revision);
    void append(UpstreamDelta delta);

    /// The revision up to which the upstreams are known.
    std::uint64_t position() const { return m_position; }
    /// Returns the changes after `revision`; none if the log does not reach back that far or if
    /// there are too many changes for one message.
    std::optional<UpstreamDelta> since(std::uint64_t revision) const;

    static constexpr std::size_t maxRetainedChanges = 1000;
    static constexpr std::size_t maxRelayedChanges = 200;

private:
    std::deque<UpstreamDelta> m_deltas;
    std::size_t m_retainedChanges = 0;
    /// The log holds all changes after this revision.
    std::uint64_t m_floor = 0;
    std::uint64_t m_position = 0;
};

} // namespace tamarack
