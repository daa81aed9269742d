#pragma once

#include "serving/UpstreamRecord.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tamarack {

/// An upstream as it is after a change.
struct UpstreamChange
{
    /// Only the id when it was removed.
    UpstreamRecord record;
    bool removed = false;

    bool operator==(const UpstreamChange &) const = default;
};

/// Changes of upstreams after one revision of the store, up to another.
struct UpstreamDelta
{
    std::uint64_t since = 0;
    std::uint64_t revision = 0;
    std::vector<UpstreamChange> changes;

    bool operator==(const UpstreamDelta &) const = default;
};

/// How an entry came to know upstreams.
enum class UpstreamSource : std::uint8_t { Listing, OwnWatch, Relay };

/// The latest changes of the upstreams, in their order, so that an entry which follows the store
/// can tell them on. Revisions are the store's and the same to all: whoever knows the upstreams as
/// of `since`, or as of a later revision that the delta reaches, knows them as of `revision` once
/// it has applied the whole delta.
///
/// Load: a release replaces upstreams one after the other before a hundred entries.
class UpstreamLog
{
public:
    /// Everything was read anew; how it came about is not known.
    void restart(std::uint64_t revision);
    void append(UpstreamDelta delta);

    /// Up to which revision the upstreams are known.
    std::uint64_t position() const { return m_position; }
    /// What changed after `revision`; none when the log does not reach back so far, or when it is
    /// too much for one message.
    std::optional<UpstreamDelta> since(std::uint64_t revision) const;

    static constexpr std::size_t mostKept = 1000;
    static constexpr std::size_t mostTold = 200;

private:
    std::deque<UpstreamDelta> m_deltas;
    std::size_t m_kept = 0;
    /// The log holds all changes after this.
    std::uint64_t m_floor = 0;
    std::uint64_t m_position = 0;
};

} // namespace tamarack
