#pragma once

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace tamarack {

/// Why it is not certain that all streams of a service began at one version.
enum class VersionDoubt : std::uint8_t {
    None,
    /// The store's record does not prove it.
    NotRecorded,
    /// This entry has not followed the list of upstreams for long enough.
    ListNew,
    /// This entry's list of upstreams may be out of date.
    ListOld,
    /// The list names no upstream, or one of another version.
    OtherListed,
    /// A process that the store does not list yet may serve under the id of an upstream.
    UnlistedProcess,
    /// The services of the route have different versions.
    ServicesDiffer,
};

std::string_view versionDoubtName(VersionDoubt doubt);

/// The version at which all streams of a service began in the last while, also those that no entry
/// knows.
struct SoleVersion
{
    static SoleVersion inDoubt(VersionDoubt doubt, Duration wait = Duration::zero(),
                               std::string upstreamId = {})
    {
        return {"", doubt, std::move(upstreamId), wait};
    }

    /// Empty if it is in doubt.
    std::string version;
    VersionDoubt doubt = VersionDoubt::None;
    /// The upstream that causes the doubt; empty if none does.
    std::string upstreamId;
    /// After this time the doubt may have ended; zero if that cannot be told.
    Duration wait = Duration::zero();

    bool isCertain() const { return doubt == VersionDoubt::None; }
};

} // namespace tamarack
