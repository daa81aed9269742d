#pragma once

#include "base/RequestId.h"
#include "base/Time.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace tamarack {

/// When an entry last received a report of another one of its exchange group.
struct HeardEntry
{
    Incarnation incarnation = 0;
    milliseconds age{0};

    bool operator==(const HeardEntry &) const = default;
};

/// What an entry tells those of other exchange groups about who is alive in its own, including
/// itself. Ages are kept, so that a late or repeated digest makes no entry reachable.
struct GroupDigest
{
    Incarnation teller = 0;
    std::vector<HeardEntry> heard;

    bool operator==(const GroupDigest &) const = default;
};

/// Bound of the rows of a digest.
constexpr std::size_t mostHeardEntries = 256;

/// Whether the entry at `position` in its group of `size` sends its digest to `receiver` in this
/// round. In each round every receiver gets the digests of a few members of each group, of others
/// in the next round, so that no member is a relay whose loss would have to be noticed.
bool isTeller(std::size_t position, std::size_t size, std::string_view receiver, std::size_t round);

} // namespace tamarack
