#pragma once

#include <string>

namespace tamarack::harness {

/// Path of the daemon that the build made, for tests that run it as a process of its own.
std::string daemonPath();

} // namespace tamarack::harness
