#pragma once

#include "config/Settings.h"

#include <string>

namespace tamarack {

/// An upstream's registration in the platform's store.
struct UpstreamRecord
{
    /// Identifies an incarnation of the upstream, by itself or among those with the same `born`.
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string dataCentre;
    int slots = 1;
    /// Shutting down soon; takes no new work.
    bool draining = false;
    /// Unix time of its start in milliseconds; 0 if unknown.
    std::uint64_t born = 0;
    /// Version of its software; empty if unknown. Versions have no order.
    std::string version;

    bool operator==(const UpstreamRecord &) const = default;
};

} // namespace tamarack
