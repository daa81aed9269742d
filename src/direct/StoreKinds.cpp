#include "direct/StoreKinds.h"

namespace tamarack {

const std::string &entryKind()
{
    static const std::string kind("tamarack-entries");
    return kind;
}

const std::string &originKind()
{
    static const std::string kind("tamarack-streams");
    return kind;
}

const std::string &recentOriginKind()
{
    static const std::string kind("tamarack-recent-streams");
    return kind;
}

const std::string &versionKind()
{
    static const std::string kind("tamarack-versions");
    return kind;
}

} // namespace tamarack
