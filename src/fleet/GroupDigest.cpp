#include "fleet/GroupDigest.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Digests of each group that an entry gets in a round.
constexpr std::size_t tellersPerRound = 3;

} // namespace

bool isTeller(std::size_t position, std::size_t size, std::string_view receiver, std::size_t round)
{
    const std::size_t stride = std::max<std::size_t>(1, size / tellersPerRound);
    return (position + fnv1a(receiver) % stride + round) % stride == 0;
}

} // namespace tamarack
