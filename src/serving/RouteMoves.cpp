#include "serving/RouteMoves.h"

#include "serving/ServingConfig.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Adds the moves of requests whose path begins with the route's prefix.
void addMoves(const Route &route, const ServingConfig &before, const ServingConfig &after,
              std::set<RouteMove> &moves)
{
    const Route *former = before.route(route.host, route.pathPrefix);
    const Route *next = after.route(route.host, route.pathPrefix);
    if (!former || !next || former->kind != RequestKind::Stream || !next->resumable
        || former->services == next->services)
        return;
    for (const WeightedService &from : former->services)
        for (const WeightedService &to : next->services)
            if (from.service != to.service)
                moves.insert({from.service, to.service});
}

} // namespace

std::set<RouteMove> streamMoves(const ServingConfig &before, const ServingConfig &after)
{
    std::set<RouteMove> moves;
    for (const ServingConfig *config : {&before, &after})
        std::ranges::for_each(config->routes,
                              [&](const Route &route) { addMoves(route, before, after, moves); });
    return moves;
}

} // namespace tamarack
