#include "serving/ProcessIdentity.h"

namespace tamarack {

std::string_view processIdentityName(ProcessIdentity identity)
{
    switch (identity) {
    case ProcessIdentity::AsListed:
        return "as_listed";
    case ProcessIdentity::Other:
        return "other";
    case ProcessIdentity::NotReported:
        return "not_reported";
    case ProcessIdentity::Silent:
        return "silent";
    case ProcessIdentity::Lost:
        return "lost";
    }
    return "unknown";
}

} // namespace tamarack
