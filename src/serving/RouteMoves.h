#pragma once

#include <compare>
#include <set>
#include <string>

namespace tamarack {

struct ServingConfig;

/// Clients may resume at the service `to` streams that began at the service `from`.
struct RouteMove
{
    std::string from;
    std::string to;

    auto operator<=>(const RouteMove &) const = default;
};

/// The moves of resumable streams between services from one configuration to the next. A route is
/// also moved by another one with a longer prefix that comes or goes.
std::set<RouteMove> streamMoves(const ServingConfig &before, const ServingConfig &after);

} // namespace tamarack
