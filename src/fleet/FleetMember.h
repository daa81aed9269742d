#pragma once

#include <string>

namespace tamarack {

/// An entry, as reported to the other entries.
struct FleetMember
{
    std::string name;
    std::string dataCentre;
    /// The entry is draining before a planned stop.
    bool leaving = false;
};

} // namespace tamarack
