#pragma once

#include "serving/ServingConfig.h"

#include <string>
#include <vector>

namespace tamarack {

/// What is suspicious about a configuration that can be decoded.
struct ConfigFinding
{
    /// Entry that it concerns, such as `routes[2] (summary)`.
    std::string place;
    std::string message;

    bool operator==(const ConfigFinding &) const = default;
};

/// Finds entries that can never match and limits that contradict each other, in the order of the
/// file.
std::vector<ConfigFinding> checkConfig(const ServingConfig &config);

/// A value that differs between two configurations.
struct ConfigDifference
{
    /// Such as `route summary.timeoutMs`.
    std::string place;
    /// Empty: the entry is absent there.
    std::string before;
    std::string after;

    bool operator==(const ConfigDifference &) const = default;
};

/// What changes from `before` to `after`, by the names of the entries. The keys of workspaces are
/// counted, not shown.
std::vector<ConfigDifference> compareConfigs(const ServingConfig &before,
                                             const ServingConfig &after);

} // namespace tamarack
