#pragma once

#include "config/Settings.h"

#include <string>

namespace tamarack {

/// What an upstream says of itself in the platform's store.
struct UpstreamRecord
{
    /// Names one incarnation of the upstream, or several with the same `born` apart.
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string dataCentre;
    int slots = 1;
    /// Leaves soon; takes no new work.
    bool draining = false;
    /// Unix time of its start, in milliseconds; 0 when not told.
    std::uint64_t born = 0;

    bool operator==(const UpstreamRecord &) const = default;
};

} // namespace tamarack
