#pragma once

#include "AdminClient.h"

#include <optional>
#include <span>
#include <string>

namespace tamarack::ctl {

struct CommandOptions
{
    bool json = false;
    bool wait = false;
    int timeoutSeconds = 0;
    /// What `check` compares with: a file, `live`, or nothing.
    std::string against;
    /// The platform's store.
    std::optional<Endpoint> store;
};

/// Runs one command line without its flags; returns the exit code, which names the error kind.
int runCommand(AdminClient &client, const CommandOptions &options,
               std::span<const std::string> words);

/// The commands, for `--help`.
std::string commandHelp();

} // namespace tamarack::ctl
