#pragma once

#include "fleet/FleetMember.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// Number of store followers per data centre. With two, one remains while the other is replaced.
constexpr std::size_t followersPerDataCentre = 2;

/// Returns the entries of a data centre that watch the store on behalf of the others there, ordered
/// by a hash of their names. Each entry computes the election locally from the members whose
/// reports it receives. Entries that see different members may elect different followers; this only
/// costs additional store calls.
///
/// Designed for a fleet of about a hundred entries, each of which would otherwise watch the store,
/// and for entries that crash, stop or are partitioned, including a whole data centre at once.
std::vector<std::string> electFollowers(std::span<const FleetMember> members,
                                        std::string_view dataCentre);

/// Returns the followers of all data centres.
std::vector<std::string> electAllFollowers(std::span<const FleetMember> members);

} // namespace tamarack
