#pragma once

#include "base/Time.h"
#include "config/JsonObjectReader.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace tamarack {

/// Version of the configuration object in the object API. Also the fencing number of orders.
using Generation = std::uint64_t;

/// 0 is the highest tier. Larger numbers are shed first.
using TierRank = std::uint8_t;

enum class Mark : std::uint8_t { None, Stop, Leave };

std::string_view markName(Mark mark);

/// What a preset says of one tier.
struct TierPolicy
{
    std::string name;
    std::size_t queueLimit = 0;
    milliseconds defaultDeadline{0};
    /// Target of the first token, for refusals and goodput.
    milliseconds firstTokenTarget{0};
};

/// One set of operating parameters. Exactly one is in force in a configuration.
struct Preset
{
    std::string name;
    /// In rank order, highest tier first.
    std::vector<TierPolicy> tiers;
    /// Loads of models in parallel over the fleet, bounded by permits.
    int loadPermits = 0;
    /// Model placement: upstream name to models. Upstreams not named keep what they serve.
    std::map<std::string, std::vector<std::string>, std::less<>> placement;
    /// Target of the time between tokens, for the adaptive limits.
    milliseconds betweenTokensTarget{0};
};

struct WorkspacePolicy
{
    double weight = 1;
    std::string defaultTier;
    /// Highest tier that the workspace may ask for.
    std::string highestTier;
};

/// A route of a plain service; the longest matching prefix counts.
struct ServiceRoute
{
    std::string method;
    std::string pathPrefix;
    bool idempotent = false;
};

struct ServicePolicy
{
    std::vector<ServiceRoute> routes;
};

/// The configuration of the whole fleet: one immutable value per generation.
struct FleetConfig
{
    Generation generation = 0;
    std::string text;
    std::string presetInForce;
    std::map<std::string, Preset, std::less<>> presets;
    std::map<std::string, WorkspacePolicy, std::less<>> workspaces;
    std::vector<std::string> models;
    std::map<std::string, ServicePolicy, std::less<>> services;
    std::map<std::string, Mark, std::less<>> marks;
    /// Identifiers of the latest changes, newest last; settle writes whose answer was lost.
    std::vector<std::string> changes;

    const Preset &preset() const { return presets.find(presetInForce)->second; }
    Mark mark(std::string_view upstream) const;
    /// Empty when no tier has that name.
    std::optional<TierRank> tierRank(std::string_view name) const;
    bool isIdempotent(std::string_view service, std::string_view method,
                      std::string_view path) const;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;
using FleetConfigResult = tl::expected<FleetConfigPtr, std::vector<DocumentFault>>;

/// Checks the whole document. `generation` is the version that the object API gave it.
FleetConfigResult parseFleetConfig(std::string_view text, Generation generation);

/// Returns `text` with the change identifier appended to `changes`, oldest dropped.
/// The text must be a valid configuration.
std::string withChange(std::string_view text, std::string_view changeId);

/// Returns `text` with the list of changes of `present`, which may be empty.
std::string withChangesOf(std::string_view text, std::string_view present);

/// Returns `text` with another preset in force.
std::string withPreset(std::string_view text, std::string_view preset);

/// Returns `text` with the mark of one upstream changed.
std::string withMark(std::string_view text, std::string_view upstream, Mark mark);

} // namespace tamarack
