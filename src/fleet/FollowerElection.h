#pragma once

#include "fleet/FleetMember.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// Followers of the store in each data centre: one serves while the other is replaced.
constexpr std::size_t followersPerDataCentre = 2;

/// The entries of a data centre that follow the store for the others there, in order of a hash of
/// their names. Every entry works it out from the members that it hears: entries that hear unlike
/// members elect unlike followers, which costs calls of the store and nothing else.
///
/// Load: a hundred entries, of which each would watch the store; entries that die, stop or are cut
/// off, all of a data centre among them.
std::vector<std::string> electFollowers(std::span<const FleetMember> members,
                                        std::string_view dataCentre);

/// The followers of all data centres.
std::vector<std::string> electAllFollowers(std::span<const FleetMember> members);

} // namespace tamarack
