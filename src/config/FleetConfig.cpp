#include "config/FleetConfig.h"

#include <algorithm>
#include <array>
#include <set>

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace json = boost::json;

namespace {

using Faults = std::vector<DocumentFault>;
using std::string_view;

constexpr std::size_t keptChanges = 64;
constexpr std::size_t highestTierCount = 16;
constexpr std::int64_t dayMs = 86'400'000;

TierPolicy readTier(const json::value &value, const std::string &path, Faults &faults)
{
    JsonObjectReader reader(value, path, faults);
    TierPolicy tier;
    tier.name = reader.requiredString("name");
    tier.queueLimit = static_cast<std::size_t>(reader.integer("queueLimit", 256, {1, 100000}));
    tier.defaultDeadline = milliseconds(reader.integer("deadlineMs", 60000, {1, dayMs}));
    tier.firstTokenTarget = milliseconds(reader.integer("firstTokenMs", 420, {1, dayMs}));
    reader.finish();
    return tier;
}

std::vector<TierPolicy> readTiers(JsonObjectReader &parent, Faults &faults)
{
    std::vector<TierPolicy> tiers;
    const auto *items = parent.array("tiers");
    if (!items || items->empty() || items->size() > highestTierCount) {
        parent.fault("tiers", "must list 1 to 16 tiers, highest first");
        return tiers;
    }
    std::set<std::string> names;
    for (std::size_t i = 0; i < items->size(); ++i) {
        const std::string path = fmt::format("{}[{}]", parent.pathOf("tiers"), i);
        tiers.push_back(readTier(items->at(i), path, faults));
        if (!names.insert(tiers.back().name).second)
            faults.push_back({path + ".name", "is used twice"});
    }
    return tiers;
}

Preset readPreset(const json::value &value, string_view name, Faults &faults)
{
    JsonObjectReader reader(value, fmt::format("presets.{}", name), faults);
    Preset preset;
    preset.name = name;
    preset.tiers = readTiers(reader, faults);
    preset.loadPermits = static_cast<int>(reader.integer("loadPermits", 1, {1, 1000}));
    preset.betweenTokensTarget = milliseconds(reader.integer("betweenTokensMs", 35, {1, 60000}));
    if (const auto *placement = reader.object("placement")) {
        const json::value placementValue = *placement;
        JsonObjectReader rows(placementValue, reader.pathOf("placement"), faults);
        for (const auto &row : *placement)
            preset.placement[std::string(row.key())] = rows.stringList(row.key());
    }
    reader.finish();
    return preset;
}

void readPresets(JsonObjectReader &reader, FleetConfig &config, Faults &faults)
{
    const auto *presets = reader.object("presets");
    if (!presets || presets->empty()) {
        reader.fault("presets", "must define at least one preset");
        return;
    }
    for (const auto &row : *presets)
        config.presets[std::string(row.key())] = readPreset(row.value(), row.key(), faults);
    if (!config.presetInForce.empty() && !config.presets.contains(config.presetInForce))
        reader.fault("presetInForce", "names no defined preset");
}

/// Tiers must have the same names in the same order in all presets, so that ranks are stable.
void checkTierOrder(const FleetConfig &config, Faults &faults)
{
    if (config.presets.empty())
        return;
    const auto &first = config.presets.begin()->second.tiers;
    for (const auto &[name, preset] : config.presets) {
        if (!std::ranges::equal(preset.tiers, first, {}, &TierPolicy::name, &TierPolicy::name))
            faults.push_back({fmt::format("presets.{}.tiers", name),
                              "must have the same names and order in every preset"});
    }
}

void readWorkspaces(JsonObjectReader &reader, FleetConfig &config, Faults &faults)
{
    const auto *workspaces = reader.object("workspaces");
    if (!workspaces)
        return;
    for (const auto &row : *workspaces) {
        JsonObjectReader item(row.value(), fmt::format("workspaces.{}", string_view(row.key())),
                              faults);
        WorkspacePolicy workspace;
        workspace.weight = item.number("weight", 1, 0.001, 1000);
        workspace.defaultTier = item.optionalString("defaultTier", "");
        workspace.highestTier = item.optionalString("highestTier", "");
        for (const string_view key : {"defaultTier", "highestTier"}) {
            const auto &tier = key == "defaultTier" ? workspace.defaultTier : workspace.highestTier;
            if (!tier.empty() && config.presets.contains(config.presetInForce)
                && !config.tierRank(tier))
                item.fault(key, "names no tier");
        }
        item.finish();
        config.workspaces[std::string(row.key())] = std::move(workspace);
    }
}

ServicePolicy readService(const json::value &value, const std::string &path, Faults &faults)
{
    static constexpr std::array<string_view, 6> methods{"GET",   "POST",   "PUT",
                                                        "PATCH", "DELETE", "*"};
    JsonObjectReader reader(value, path, faults);
    ServicePolicy service;
    if (const auto *routes = reader.array("routes")) {
        for (std::size_t i = 0; i < routes->size(); ++i) {
            JsonObjectReader item(routes->at(i), fmt::format("{}.routes[{}]", path, i), faults);
            ServiceRoute route;
            route.method = item.choice("method", "*", methods);
            route.pathPrefix = item.requiredString("path");
            route.idempotent = item.boolean("idempotent", false);
            if (!route.pathPrefix.empty() && route.pathPrefix.front() != '/')
                item.fault("path", "must start with /");
            item.finish();
            service.routes.push_back(std::move(route));
        }
    }
    reader.finish();
    return service;
}

void readServices(JsonObjectReader &reader, FleetConfig &config, Faults &faults)
{
    const auto *services = reader.object("services");
    if (!services)
        return;
    for (const auto &row : *services)
        config.services[std::string(row.key())] =
            readService(row.value(), fmt::format("services.{}", string_view(row.key())), faults);
}

void readMarks(JsonObjectReader &reader, FleetConfig &config, Faults &faults)
{
    static constexpr std::array<string_view, 3> names{"none", "stop", "leave"};
    const auto *upstreams = reader.object("upstreams");
    if (!upstreams)
        return;
    for (const auto &row : *upstreams) {
        JsonObjectReader item(row.value(), fmt::format("upstreams.{}", string_view(row.key())),
                              faults);
        const std::string mark = item.choice("mark", "none", names);
        item.finish();
        config.marks[std::string(row.key())] = mark == "stop"    ? Mark::Stop
                                               : mark == "leave" ? Mark::Leave
                                                                 : Mark::None;
    }
}

} // namespace

std::string_view markName(Mark mark)
{
    switch (mark) {
    case Mark::None:
        return "none";
    case Mark::Stop:
        return "stop";
    case Mark::Leave:
        return "leave";
    }
    return "none";
}

Mark FleetConfig::mark(std::string_view upstream) const
{
    const auto found = marks.find(upstream);
    return found == marks.end() ? Mark::None : found->second;
}

std::optional<TierRank> FleetConfig::tierRank(std::string_view name) const
{
    const auto &tiers = preset().tiers;
    const auto found = std::ranges::find(tiers, name, &TierPolicy::name);
    if (found == tiers.end())
        return std::nullopt;
    return static_cast<TierRank>(found - tiers.begin());
}

bool FleetConfig::isIdempotent(std::string_view service, std::string_view method,
                               std::string_view path) const
{
    const auto found = services.find(service);
    if (found == services.end())
        return false;
    const ServiceRoute *best = nullptr;
    for (const ServiceRoute &route : found->second.routes) {
        const bool matches =
            (route.method == "*" || route.method == method) && path.starts_with(route.pathPrefix);
        if (matches && (!best || route.pathPrefix.size() > best->pathPrefix.size()))
            best = &route;
    }
    return best && best->idempotent;
}

FleetConfigResult parseFleetConfig(std::string_view text, Generation generation)
{
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    if (error)
        return tl::unexpected(Faults{{"(document)", "is not valid JSON: " + error.message()}});
    Faults faults;
    auto config = std::make_shared<FleetConfig>();
    config->generation = generation;
    config->text = text;
    JsonObjectReader reader(document, "", faults);
    config->presetInForce = reader.requiredString("presetInForce");
    readPresets(reader, *config, faults);
    checkTierOrder(*config, faults);
    readWorkspaces(reader, *config, faults);
    config->models = reader.stringList("models");
    readServices(reader, *config, faults);
    readMarks(reader, *config, faults);
    config->changes = reader.stringList("changes");
    reader.finish();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return config;
}

std::string withChange(std::string_view text, std::string_view changeId)
{
    json::value document = json::parse(text);
    json::object &object = document.as_object();
    json::array changes;
    if (const auto *old = object.if_contains("changes"))
        changes = old->as_array();
    changes.emplace_back(changeId);
    while (changes.size() > keptChanges)
        changes.erase(changes.begin());
    object["changes"] = std::move(changes);
    return json::serialize(document);
}

std::string withChangesOf(std::string_view text, std::string_view present)
{
    json::value document = json::parse(text);
    document.as_object().erase("changes");
    if (present.empty())
        return json::serialize(document);
    const json::value old = json::parse(present);
    if (const auto *changes = old.as_object().if_contains("changes"))
        document.as_object()["changes"] = *changes;
    return json::serialize(document);
}

std::string withPreset(std::string_view text, std::string_view preset)
{
    json::value document = json::parse(text);
    document.as_object()["presetInForce"] = preset;
    return json::serialize(document);
}

std::string withMark(std::string_view text, std::string_view upstream, Mark mark)
{
    json::value document = json::parse(text);
    json::object &object = document.as_object();
    if (!object.contains("upstreams"))
        object["upstreams"] = json::object{};
    object["upstreams"].as_object()[upstream] = json::object{{"mark", markName(mark)}};
    return json::serialize(document);
}

} // namespace tamarack
