#pragma once

#include <string>

namespace tamarack {

/// Runs one process from its settings file until it is stopped; returns the exit code.
int runDaemon(const std::string &settingsPath);

/// Checks a settings file, prints every fault to standard error; returns the exit code.
int checkSettings(const std::string &settingsPath);

} // namespace tamarack
