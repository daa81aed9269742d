#pragma once

#include <string>

namespace tamarack {

/// An entry as the others see it.
struct FleetMember
{
    std::string name;
    std::string dataCentre;
    /// Stops as planned.
    bool leaving = false;
};

} // namespace tamarack
