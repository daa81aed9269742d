#include "config/Settings.h"

#include "fleet/GroupDigest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace {

using Faults = std::vector<DocumentFault>;
using std::string_view;

constexpr std::int64_t hourMs = 3'600'000;
constexpr std::int64_t mebibyte = 1 << 20;
constexpr double smallestHostMb = 88;
constexpr double leastMemoryMb = 64;
constexpr double mostMemoryMb = 1 << 20;
constexpr double mostDescriptors = 1e7;
constexpr std::size_t digestHexDigits = 64;
constexpr std::size_t minimumPeerKeyBytes = 16;

bool isLowerHex(string_view text)
{
    return std::ranges::all_of(
        text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

Endpoint readEndpoint(JsonObjectReader &reader, string_view key, bool required)
{
    const std::string text = required ? reader.requiredString(key) : reader.optionalString(key, "");
    if (text.empty())
        return {};
    const auto endpoint = parseEndpoint(text);
    if (!endpoint)
        reader.fault(key, "must be IP:PORT with a port from 1 to 65535");
    return endpoint.value_or(Endpoint{});
}

ListenerSettings readListener(JsonObjectReader &parent, string_view key, Faults &faults)
{
    ListenerSettings listener;
    const auto *value = parent.requiredChild(key);
    if (!value)
        return listener;
    JsonObjectReader reader(*value, parent.pathOf(key), faults);
    listener.endpoint = readEndpoint(reader, "address", true);
    if (const auto *tls = reader.child("tls")) {
        JsonObjectReader tlsReader(*tls, reader.pathOf("tls"), faults);
        listener.tls = TlsSettings{tlsReader.requiredString("certificateFile"),
                                   tlsReader.requiredString("keyFile")};
        tlsReader.finish();
    }
    reader.finish();
    return listener;
}

std::vector<TokenSettings> readTokens(JsonObjectReader &parent, string_view key, bool withRole,
                                      Faults &faults)
{
    static constexpr std::array<string_view, 2> roles{"admin", "viewer"};
    std::vector<TokenSettings> tokens;
    const auto *items = parent.array(key);
    if (!items)
        return tokens;
    std::set<std::string> names;
    for (std::size_t i = 0; i < items->size(); ++i) {
        JsonObjectReader reader(items->at(i), fmt::format("{}[{}]", parent.pathOf(key), i), faults);
        TokenSettings token{reader.requiredString("name"), reader.requiredString("tokenSha256"),
                            ""};
        if (withRole)
            token.role = reader.choice("role", "admin", roles);
        if (!token.tokenSha256.empty()
            && (token.tokenSha256.size() != digestHexDigits || !isLowerHex(token.tokenSha256)))
            reader.fault("tokenSha256", "must be 64 lower-case hex digits");
        if (!token.name.empty() && !names.insert(token.name).second)
            reader.fault("name", "is used twice");
        reader.finish();
        tokens.push_back(std::move(token));
    }
    return tokens;
}

std::vector<SeedSettings> readSeeds(JsonObjectReader &parent, Faults &faults)
{
    std::vector<SeedSettings> seeds;
    const auto *items = parent.array("seeds");
    if (!items)
        return seeds;
    for (std::size_t i = 0; i < items->size(); ++i) {
        JsonObjectReader reader(items->at(i), fmt::format("seeds[{}]", i), faults);
        SeedSettings seed;
        seed.name = reader.requiredString("name");
        seed.endpoint = readEndpoint(reader, "address", true);
        reader.finish();
        seeds.push_back(std::move(seed));
    }
    return seeds;
}

UpstreamSettings readUpstream(JsonObjectReader &parent, Faults &faults)
{
    static constexpr std::array<string_view, 2> kinds{"engine", "service"};
    UpstreamSettings upstream;
    const auto *value = parent.requiredChild("upstream");
    if (!value)
        return upstream;
    JsonObjectReader reader(*value, "upstream", faults);
    upstream.kind = reader.choice("kind", "engine", kinds);
    upstream.endpoint = readEndpoint(reader, "address", true);
    upstream.targets = reader.stringList("targets");
    upstream.checksFencing = reader.boolean("checksFencing", false);
    upstream.capacity = static_cast<int>(reader.integer("capacity", 64, {1, 4096}));
    if (upstream.targets.empty())
        reader.fault("targets", "must name at least one model or service");
    else if (upstream.kind == "service" && upstream.targets.size() != 1)
        reader.fault("targets", "must name exactly one service");
    reader.finish();
    return upstream;
}

LimitSettings readLimits(JsonObjectReader &parent, Faults &faults)
{
    static const boost::json::value empty = boost::json::object{};
    const auto *value = parent.child("limits");
    JsonObjectReader reader(value ? *value : empty, "limits", faults);
    LimitSettings limits;
    limits.headerBytes =
        static_cast<std::size_t>(reader.integer("headerBytes", 16384, {256, mebibyte}));
    limits.bodyBytes =
        static_cast<std::size_t>(reader.integer("bodyBytes", 2 * mebibyte, {1, 64 * mebibyte}));
    limits.connections =
        static_cast<std::size_t>(reader.integer("connections", 10000, {1, 100000}));
    limits.readTimeout = milliseconds(reader.integer("readTimeoutMs", 30000, {1, hourMs}));
    limits.keptAnswerBytes = static_cast<std::size_t>(
        reader.integer("keptAnswerBytes", 64 * mebibyte, {mebibyte, 1024 * mebibyte}));
    limits.memoryBytes = static_cast<std::size_t>(
        reader.number("memoryMb", smallestHostMb, leastMemoryMb, mostMemoryMb) * mebibyte);
    limits.descriptors = static_cast<std::size_t>(reader.number("maxFds", 0, 0, mostDescriptors));
    reader.finish();
    return limits;
}

TimingSettings readTiming(JsonObjectReader &parent, Faults &faults)
{
    static const boost::json::value empty = boost::json::object{};
    const auto *value = parent.child("timing");
    JsonObjectReader reader(value ? *value : empty, "timing", faults);
    TimingSettings timing;
    timing.heartbeat = milliseconds(reader.integer("heartbeatMs", 200, {1, hourMs}));
    timing.silence = milliseconds(reader.integer("silenceMs", 1500, {1, hourMs}));
    timing.creditLife = milliseconds(reader.integer("creditLifeMs", 1000, {1, 60000}));
    timing.leaveBound = milliseconds(reader.integer("leaveBoundMs", 3000, {1, 60000}));
    timing.settleBound = milliseconds(reader.integer("settleBoundMs", 5000, {1, hourMs}));
    timing.claimBatch = milliseconds(reader.integer("claimBatchMs", 5, {0, 1000}));
    timing.keyRetention =
        milliseconds(reader.integer("keyRetentionMs", hourMs, {1000, 48 * hourMs}));
    if (timing.silence < 2 * timing.heartbeat)
        reader.fault("silenceMs", "must be at least twice heartbeatMs");
    reader.finish();
    return timing;
}

std::size_t defaultThreads()
{
    return 2;
}

void readEntryPart(JsonObjectReader &reader, Settings &settings, Faults &faults)
{
    settings.caller = readListener(reader, "caller", faults);
    settings.workspaces = readTokens(reader, "workspaces", false, faults);
    settings.operators = readTokens(reader, "operators", true, faults);
    if (settings.workspaces.empty())
        reader.fault("workspaces", "must name at least one workspace");
    if (settings.seeds.empty() && !settings.hostList)
        reader.fault("seeds", "must not be empty without hostList");
}

RetryBounds readRetryBounds(JsonObjectReader &reader)
{
    constexpr double highestRatio = 10;
    constexpr double highestSlack = 1e6;
    constexpr std::int64_t longestWindowSeconds = 3600;
    const RetryBounds defaults;
    RetryBounds bounds;
    bounds.ratio = reader.number("retryRatio", defaults.ratio, 0, highestRatio);
    bounds.window = std::chrono::seconds(
        reader.integer("retryWindowSeconds", defaults.window.count(), {1, longestWindowSeconds}));
    bounds.slack = reader.number("retrySlack", defaults.slack, 0, highestSlack);
    return bounds;
}

std::optional<RolloutBounds> readRolloutBounds(JsonObjectReader &reader, Faults &faults)
{
    constexpr double highestSlack = 1e6;
    const auto *value = reader.child("rollouts");
    if (!value)
        return std::nullopt;
    JsonObjectReader group(*value, "rollouts", faults);
    RolloutBounds bounds;
    bounds.exposeShare = group.number("exposeShare", bounds.exposeShare, 0, 1);
    bounds.exposeSlack = group.number("exposeSlack", bounds.exposeSlack, 0, highestSlack);
    bounds.rollback =
        milliseconds(group.integer("rollbackMs", bounds.rollback.count(), {1, hourMs}));
    group.finish();
    return bounds;
}

GroupBounds readGroups(JsonObjectReader &parent, Faults &faults)
{
    GroupBounds groups;
    const auto *value = parent.child("exchange");
    if (!value)
        return groups;
    constexpr std::int64_t mostEntries = 10'000;
    JsonObjectReader reader(*value, "exchange", faults);
    groups.undividedEntries = static_cast<std::size_t>(reader.integer(
        "undividedEntries", static_cast<std::int64_t>(groups.undividedEntries), {0, mostEntries}));
    groups.entriesPerGroup = static_cast<std::size_t>(
        reader.integer("entriesPerGroup", static_cast<std::int64_t>(groups.entriesPerGroup),
                       {4, static_cast<std::int64_t>(mostHeardEntries / 2)}));
    reader.finish();
    return groups;
}

SchedulingOptions readScheduling(JsonObjectReader &parent, Faults &faults)
{
    static const boost::json::value empty = boost::json::object{};
    const auto *value = parent.child("scheduling");
    JsonObjectReader reader(value ? *value : empty, "scheduling", faults);
    SchedulingOptions options;
    options.fleetView = reader.boolean("fleetView", options.fleetView);
    options.lateIsServed = reader.boolean("lateIsServed", options.lateIsServed);
    options.appointments = reader.boolean("appointments", options.appointments);
    if (options.appointments && !options.fleetView)
        reader.fault("appointments", "needs fleetView");
    reader.finish();
    return options;
}

void readDirectPart(JsonObjectReader &reader, Settings &settings, Faults &faults)
{
    static const boost::json::value empty = boost::json::object{};
    constexpr std::int64_t defaultRevokeMs = 5000;
    constexpr std::int64_t defaultDrainMs = 2000;
    constexpr double defaultGraceSeconds = 8;
    constexpr double defaultQuotaSeconds = 8;
    settings.caller = readListener(reader, "caller", faults);
    settings.peer = readEndpoint(reader, "peer", true);
    settings.direct.readiness = readListener(reader, "readiness", faults);
    settings.direct.store = readEndpoint(reader, "store", true);
    const auto *value = reader.child("bounds");
    JsonObjectReader bounds(value ? *value : empty, "bounds", faults);
    settings.direct.revokeBound =
        milliseconds(bounds.integer("revokeMs", defaultRevokeMs, {100, hourMs}));
    settings.direct.drainBound =
        milliseconds(bounds.integer("drainMs", defaultDrainMs, {1000, hourMs}));
    const double grace = bounds.number("stopGraceSeconds", defaultGraceSeconds, 1, 3600);
    settings.direct.stopGrace = milliseconds(static_cast<std::int64_t>(grace * 1000));
    settings.direct.retries = readRetryBounds(bounds);
    settings.direct.hedgeShare = bounds.number("hedgeShare", 0, 0, settings.direct.retries.ratio);
    const double quotaWindow = bounds.number("quotaWindowSeconds", defaultQuotaSeconds, 1, 3600);
    settings.direct.quotaWindow = milliseconds(static_cast<std::int64_t>(quotaWindow * 1000));
    bounds.finish();
    settings.direct.rollouts = readRolloutBounds(reader, faults);
    const auto *occupancyGroup = reader.child("occupancy");
    JsonObjectReader occupancy(occupancyGroup ? *occupancyGroup : empty, "occupancy", faults);
    settings.direct.usesOccupancy = occupancy.boolean("use", false);
    occupancy.finish();
    settings.direct.groups = readGroups(reader, faults);
    settings.direct.scheduling = readScheduling(reader, faults);
}

void readCommonPart(JsonObjectReader &reader, Settings &settings, Faults &faults)
{
    settings.name = reader.requiredString("name");
    settings.dataCentre = reader.requiredString("dataCentre");
    settings.admin = readListener(reader, "admin", faults);
    settings.peerKey = reader.requiredString("peerKey");
    if (!settings.peerKey.empty() && settings.peerKey.size() < minimumPeerKeyBytes)
        reader.fault("peerKey", "must have at least 16 characters");
    settings.seeds = readSeeds(reader, faults);
    const Endpoint objectApi = readEndpoint(reader, "objectApi", false);
    if (objectApi.port != 0)
        settings.objectApi = objectApi;
    const Endpoint hostList = readEndpoint(reader, "hostList", false);
    if (hostList.port != 0)
        settings.hostList = hostList;
    settings.threads = static_cast<std::size_t>(
        reader.integer("threads", static_cast<std::int64_t>(defaultThreads()), {1, 64}));
    settings.limits = readLimits(reader, faults);
    settings.timing = readTiming(reader, faults);
}

void readLog(JsonObjectReader &parent, Settings &settings, Faults &faults)
{
    static constexpr std::array<string_view, 4> levels{"debug", "info", "warn", "error"};
    settings.logLevel = "info";
    const auto *value = parent.child("log");
    if (!value)
        return;
    JsonObjectReader reader(*value, "log", faults);
    settings.logLevel = reader.choice("level", "info", levels);
    settings.logFile = reader.optionalString("file", "");
    reader.finish();
}

Settings readSettings(const boost::json::value &document, Faults &faults)
{
    static constexpr std::array<string_view, 3> roles{"entry", "upstream", "direct"};
    Settings settings;
    JsonObjectReader reader(document, "", faults);
    const std::string role = reader.requiredString("role");
    if (!role.empty() && std::ranges::find(roles, role) == roles.end())
        reader.fault("role", "must be one of entry, upstream, direct");
    settings.role = role == "upstream" ? Role::Upstream
                    : role == "direct" ? Role::Direct
                                       : Role::Entry;
    readCommonPart(reader, settings, faults);
    readLog(reader, settings, faults);
    if (settings.role == Role::Entry) {
        readEntryPart(reader, settings, faults);
    } else if (settings.role == Role::Direct) {
        readDirectPart(reader, settings, faults);
    } else {
        settings.peer = readEndpoint(reader, "peer", true);
        settings.upstream = readUpstream(reader, faults);
        settings.operators = readTokens(reader, "operators", true, faults);
    }
    reader.finish();
    return settings;
}

} // namespace

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == string_view::npos)
        return std::nullopt;
    Endpoint endpoint;
    endpoint.address = std::string(text.substr(0, colon));
    boost::system::error_code error;
    boost::asio::ip::make_address(endpoint.address, error);
    const string_view digits = text.substr(colon + 1);
    const auto [end, parseError] =
        std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    const bool wholePort = parseError == std::errc() && end == digits.data() + digits.size();
    if (error || !wholePort || endpoint.port == 0)
        return std::nullopt;
    return endpoint;
}

SettingsResult parseSettings(std::string_view text)
{
    boost::system::error_code error;
    const boost::json::value document = boost::json::parse(text, error);
    if (error)
        return tl::unexpected(Faults{{"(document)", "is not valid JSON: " + error.message()}});
    Faults faults;
    Settings settings = readSettings(document, faults);
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

SettingsResult loadSettings(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        return tl::unexpected(Faults{{"(file)", "cannot read " + path}});
    return parseSettings(text.str());
}

} // namespace tamarack
