#include "FuzzTarget.h"

#include "config/FleetConfig.h"
#include "config/Settings.h"

#include <cstdlib>

using namespace tamarack;

/// A refused document names its faults; an accepted configuration can be edited.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto settings = parseSettings(text);
    if (!settings && settings.error().empty())
        std::abort();
    const auto config = parseFleetConfig(text, 1);
    if (!config)
        return 0;
    const std::string edited =
        withChange(withMark(withPreset(text, (*config)->presetInForce), "up", Mark::Stop), "id");
    if (!parseFleetConfig(edited, 2))
        std::abort();
    return 0;
}

std::vector<std::string> fuzzSeeds()
{
    return {
        R"({"role":"entry","name":"e","dataCentre":"d","caller":{"address":"127.0.0.1:1"},)"
        R"("admin":{"address":"127.0.0.1:2"},"peerKey":"0123456789abcdef",)"
        R"("seeds":[{"name":"u","address":"127.0.0.1:3"}],"workspaces":[{"name":"w",)"
        R"("tokenSha256":"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}]})",
        R"({"presetInForce":"a","presets":{"a":{"tiers":[{"name":"live","queueLimit":5}],)"
        R"("loadPermits":2,"placement":{"up":["m"]}}},"workspaces":{"w":{"weight":2,)"
        R"("defaultTier":"live"}},"models":["m"],"services":{"s":{"routes":[{"method":"GET",)"
        R"("path":"/","idempotent":true}]}},"upstreams":{"up":{"mark":"stop"}},"changes":["x"]})"};
}
