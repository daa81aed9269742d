#pragma once

#include "config/Settings.h"
#include "tamarackseam/Error.h"

#include <optional>
#include <string>
#include <string_view>

namespace tamarack::ctl {

struct ConfigCheckOptions
{
    /// File to compare with, `live` for what the store holds, or empty.
    std::string against;
    /// The platform's store, needed for `live`.
    std::optional<Endpoint> store;
    bool json = false;
};

/// Checks the text of an operator's configuration: errors, entries that can never match, limits
/// that contradict each other, and what differs from another one. Returns what is to be printed;
/// `InvalidConfig` with the place of the first error if it cannot be decoded. `findings`: set to
/// their number.
Result<std::string> checkConfigText(std::string_view text, const ConfigCheckOptions &options,
                                    std::size_t &findings);

/// The text of the file, or of standard input for `-`.
Result<std::string> readFile(const std::string &path);

} // namespace tamarack::ctl
