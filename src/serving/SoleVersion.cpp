#include "serving/SoleVersion.h"

namespace tamarack {

std::string_view versionDoubtName(VersionDoubt doubt)
{
    switch (doubt) {
    case VersionDoubt::None:
        return "";
    case VersionDoubt::NotRecorded:
        return "not_recorded";
    case VersionDoubt::ListNew:
        return "list_new";
    case VersionDoubt::ListOld:
        return "list_old";
    case VersionDoubt::OtherListed:
        return "other_listed";
    case VersionDoubt::UnlistedProcess:
        return "unlisted_process";
    case VersionDoubt::ServicesDiffer:
        return "services_differ";
    }
    return "unknown";
}

} // namespace tamarack
