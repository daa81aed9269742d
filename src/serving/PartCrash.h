#pragma once

#include "base/Time.h"
#include "serving/UpstreamKey.h"

#include <cstdint>

namespace tamarack {

using PromptPartId = std::uint64_t;

/// A request whose prompt has the part was in flight at an upstream incarnation that crashed.
struct PartCrash
{
    PromptPartId part = 0;
    UpstreamKey upstream = 0;
    /// Position of the part in the prompt. A later part is the more specific one: it mostly follows
    /// the same earlier parts.
    std::uint16_t position = 0;

    bool operator==(const PartCrash &) const = default;
};

/// A crash with its age, as exchanged between entries.
struct ReportedPartCrash
{
    PartCrash crash;
    milliseconds age{0};

    bool operator==(const ReportedPartCrash &) const = default;
};

/// The last complete response to a request with the part that the reporting entry received.
struct ReportedPartAnswer
{
    PromptPartId part = 0;
    milliseconds age{0};
    /// Number of such responses. Tells a repeated report, which may arrive late, from a newer
    /// response.
    std::uint32_t count = 0;

    bool operator==(const ReportedPartAnswer &) const = default;
};

} // namespace tamarack
