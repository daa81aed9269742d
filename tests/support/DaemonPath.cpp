#include "support/DaemonPath.h"

namespace tamarack::harness {

std::string daemonPath()
{
    return DAEMON;
}

} // namespace tamarack::harness
