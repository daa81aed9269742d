#include "serving/ConfigCheck.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace {

/// Values of one entry by their name, as shown to operators.
using Values = std::map<std::string, std::string>;
using Entries = std::map<std::string, Values>;

std::string placeOf(std::string_view list, std::size_t index, std::string_view name)
{
    return fmt::format("{}[{}] ({})", list, index, name);
}

class Checker
{
public:
    explicit Checker(const ServingConfig &config)
        : m_config(config)
    {}

    std::vector<ConfigFinding> run()
    {
        for (std::size_t i = 0; i < m_config.routes.size(); ++i)
            checkRoute(i);
        for (std::size_t i = 0; i < m_config.services.size(); ++i)
            checkService(i);
        for (std::size_t i = 0; i < m_config.workspaces.size(); ++i)
            checkWorkspace(i);
        checkLimits();
        return std::move(m_findings);
    }

private:
    void add(const std::string &place, std::string message)
    {
        m_findings.push_back({place, std::move(message)});
    }

    void checkRoute(std::size_t index)
    {
        const Route &route = m_config.routes[index];
        const std::string place = placeOf("routes", index, route.name);
        const std::string &prefix = route.pathPrefix;
        if (!prefix.starts_with('/') || !prefix.ends_with('/'))
            add(place, "the path prefix must begin and end with a slash, or it matches no path");
        if (route.host.empty() || route.host.find(':') != std::string::npos)
            add(place, "the host must be a name without a port, or it matches no request");
        const auto earlier = m_routes.emplace(std::pair(route.host, prefix), index);
        if (!earlier.second)
            add(place, fmt::format("never matches: routes[{}] has the same host and path prefix",
                                   earlier.first->second));
        if (!m_routeNames.insert(route.name).second)
            add(place, "another route has the same name");
        for (const WeightedService &share : route.services) {
            m_routedServices.insert(share.service);
            if (!m_config.service(share.service))
                add(place, fmt::format("service {} is not listed", share.service));
        }
        checkTimes(place, route);
        const bool isStream = route.kind == RequestKind::Stream;
        if (route.maxAttempts < 1)
            add(place, "no attempt is allowed");
        if (route.maxAttempts > 1 && !route.repeatable())
            add(place, "more than one attempt is allowed, but the request must not be repeated");
        if (route.resumable && !isStream)
            add(place, "only streams can be resumed");
    }

    void checkTimes(const std::string &place, const Route &route)
    {
        if (route.timeout <= milliseconds::zero())
            add(place, "the timeout is zero, so that no request is sent");
        if (route.objective > route.timeout)
            add(place, "the latency objective is longer than the timeout");
        if (route.eventGapObjective > route.timeout)
            add(place, "the objective for pauses is longer than the timeout");
        if (route.eventGapObjective > milliseconds::zero() && route.kind != RequestKind::Stream)
            add(place, "only streams have pauses between events");
    }

    void checkService(std::size_t index)
    {
        const Service &service = m_config.services[index];
        const std::string place = placeOf("services", index, service.name);
        if (!m_routedServices.contains(service.name))
            add(place, "no route leads to it");
        if (m_config.service(service.name) != &service)
            add(place, "never used: an earlier service has the same name");
        if (service.engine && service.engine->slots < 1)
            add(place, "its engines have no slots");
        if (service.engine && service.maxConnections > 0
            && service.maxConnections < service.engine->slots)
            add(place, "fewer connections are allowed than an engine has slots");
    }

    void checkWorkspace(std::size_t index)
    {
        const Workspace &workspace = m_config.workspaces[index];
        const std::string place = placeOf("workspaces", index, workspace.name);
        if (workspace.keys.empty())
            add(place, "has no keys, so that no request is its own");
        if (!m_workspaceNames.insert(workspace.name).second)
            add(place, "another workspace has the same name");
        for (const std::string &key : workspace.keys) {
            const auto [owner, isNew] = m_keyOwners.emplace(key, index);
            if (key.empty())
                add(place, "an empty key");
            else if (!isNew && owner->second != index)
                add(place, fmt::format("a key belongs to workspaces[{}] already", owner->second));
            else if (!isNew)
                add(place, "a key is listed twice");
        }
        if (workspace.rate <= 0 && workspace.burst > 0)
            add(place, "a burst without a rate: the quota is unlimited");
        if (workspace.rate > 0 && workspace.burst <= 0)
            add(place, "a rate without a burst refuses every request");
    }

    void checkLimits()
    {
        const ClientLimits &limits = m_config.limits;
        if (limits.headerBytes == 0)
            add("limits", "no request has an empty head");
        if (limits.headerTimeout <= milliseconds::zero())
            add("limits", "no time to receive a head");
        if (limits.idleTimeout < limits.headerTimeout)
            add("limits", "the idle timeout is shorter than the time for a head");
    }

    const ServingConfig &m_config;
    std::vector<ConfigFinding> m_findings;
    std::map<std::pair<std::string, std::string>, std::size_t> m_routes;
    std::set<std::string> m_routeNames;
    std::set<std::string> m_routedServices;
    std::set<std::string> m_workspaceNames;
    std::map<std::string, std::size_t> m_keyOwners;
};

std::string_view kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::NonIdempotent:
        return "non-idempotent";
    case RequestKind::Stream:
        return "stream";
    }
    return "unknown";
}

std::string msText(milliseconds time)
{
    return fmt::format("{} ms", time.count());
}

Values valuesOf(const Route &route)
{
    std::string services;
    for (const WeightedService &share : route.services)
        services +=
            fmt::format("{}{}:{}", services.empty() ? "" : " ", share.service, share.weight);
    return {{"host", route.host},
            {"path prefix", route.pathPrefix},
            {"kind", std::string(kindName(route.kind))},
            {"timeout", msText(route.timeout)},
            {"objective", msText(route.objective)},
            {"eventGapObjective", msText(route.eventGapObjective)},
            {"tier", std::to_string(route.tier)},
            {"services", services},
            {"attempts", std::to_string(route.maxAttempts)},
            {"public", fmt::format("{}", route.isPublic)},
            {"affinity", fmt::format("{}", route.affinity)},
            {"resumable", fmt::format("{}", route.resumable)}};
}

Values valuesOf(const Service &service)
{
    Values values{{"connections", std::to_string(service.maxConnections)},
                  {"healthCheckPath", service.healthCheckPath}};
    if (service.engine) {
        values["slots"] = std::to_string(service.engine->slots);
        values["KV tokens"] = std::to_string(service.engine->kvTokens);
        values["tokensPerEvent"] = std::to_string(service.engine->tokensPerEvent);
    }
    return values;
}

/// Keys must not be shown: the values only tell which are the same.
Values valuesOf(const Workspace &workspace)
{
    return {{"keys", std::to_string(workspace.keys.size())},
            {"tier", workspace.tier ? std::to_string(*workspace.tier) : "of the route"},
            {"unit", workspace.unit == QuotaUnit::Tokens ? "tokens" : "requests"},
            {"defaultCost", fmt::format("{}", workspace.defaultCost)},
            {"rate", fmt::format("{}", workspace.rate)},
            {"burst", fmt::format("{}", workspace.burst)}};
}

Entries entriesOf(const ServingConfig &config)
{
    Entries entries;
    for (const Route &route : config.routes)
        entries["route " + route.name] = valuesOf(route);
    for (const Service &service : config.services)
        entries["service " + service.name] = valuesOf(service);
    for (const Workspace &workspace : config.workspaces)
        entries["workspace " + workspace.name] = valuesOf(workspace);
    entries["limits"] = {{"headerBytes", std::to_string(config.limits.headerBytes)},
                         {"bodyBytes", std::to_string(config.limits.bodyBytes)},
                         {"headerTimeout", msText(config.limits.headerTimeout)},
                         {"idleTimeout", msText(config.limits.idleTimeout)}};
    entries["configuration"] = {{"version", std::to_string(config.version)}};
    return entries;
}

/// Numbers of keys that only one of the two has.
void compareKeys(const ServingConfig &before, const ServingConfig &after,
                 std::vector<ConfigDifference> &differences)
{
    for (const Workspace &workspace : after.workspaces) {
        const auto former = std::ranges::find(before.workspaces, workspace.name, &Workspace::name);
        if (former == before.workspaces.end())
            continue;
        const auto missingIn = [](const Workspace &from, const Workspace &in) {
            return std::ranges::count_if(from.keys, [&](const std::string &key) {
                return std::ranges::find(in.keys, key) == in.keys.end();
            });
        };
        const auto removed = missingIn(*former, workspace);
        const auto added = missingIn(workspace, *former);
        if (removed > 0 || added > 0)
            differences.push_back({"workspace " + workspace.name + ".keys",
                                   fmt::format("{} taken away", removed),
                                   fmt::format("{} added", added)});
    }
}

} // namespace

std::vector<ConfigFinding> checkConfig(const ServingConfig &config)
{
    return Checker(config).run();
}

std::vector<ConfigDifference> compareConfigs(const ServingConfig &before,
                                             const ServingConfig &after)
{
    Entries old = entriesOf(before);
    Entries current = entriesOf(after);
    std::set<std::string> names;
    for (const Entries *entries : {&old, &current})
        for (const auto &[name, values] : *entries)
            names.insert(name);
    std::vector<ConfigDifference> differences;
    for (const std::string &name : names) {
        if (!old.contains(name) || !current.contains(name)) {
            const bool isAdded = current.contains(name);
            differences.push_back({name, isAdded ? "" : "present", isAdded ? "present" : ""});
            continue;
        }
        Values &was = old[name];
        Values &is = current[name];
        std::set<std::string> keys;
        for (const Values *values : {&was, &is})
            for (const auto &[key, value] : *values)
                keys.insert(key);
        for (const std::string &key : keys)
            if (key != "keys" && was[key] != is[key])
                differences.push_back({fmt::format("{}.{}", name, key), was[key], is[key]});
    }
    compareKeys(before, after, differences);
    return differences;
}

} // namespace tamarack
