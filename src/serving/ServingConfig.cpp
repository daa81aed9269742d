#include "serving/ServingConfig.h"

#include <algorithm>
#include <numeric>

namespace tamarack {

void ServingConfig::buildIndexes()
{
    m_routesByHost.clear();
    m_workspaceByKey.clear();
    m_serviceByName.clear();
    for (std::size_t i = 0; i < routes.size(); ++i)
        m_routesByHost[routes[i].host].push_back(i);
    const auto longestFirst = [this](std::size_t a, std::size_t b) {
        return routes[a].pathPrefix.size() > routes[b].pathPrefix.size();
    };
    for (auto &[host, indexes] : m_routesByHost)
        std::ranges::stable_sort(indexes, longestFirst);
    for (std::size_t i = 0; i < workspaces.size(); ++i)
        for (const std::string &key : workspaces[i].keys)
            m_workspaceByKey.emplace(key, i);
    for (std::size_t i = 0; i < services.size(); ++i)
        m_serviceByName.emplace(services[i].name, i);
}

const Route *ServingConfig::route(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(std::string(host));
    if (found == m_routesByHost.end())
        return nullptr;
    const auto matching = std::ranges::find_if(
        found->second, [&](std::size_t i) { return path.starts_with(routes[i].pathPrefix); });
    return matching == found->second.end() ? nullptr : &routes[*matching];
}

const Workspace *ServingConfig::workspaceOf(std::string_view key) const
{
    const auto found = m_workspaceByKey.find(std::string(key));
    return found == m_workspaceByKey.end() ? nullptr : &workspaces[found->second];
}

const Service *ServingConfig::service(std::string_view name) const
{
    const auto found = m_serviceByName.find(std::string(name));
    return found == m_serviceByName.end() ? nullptr : &services[found->second];
}

const std::string &chooseService(const Route &route, std::uint64_t draw)
{
    const std::uint64_t total =
        std::accumulate(route.services.begin(), route.services.end(), std::uint64_t(0),
                        [](std::uint64_t sum, const auto &share) { return sum + share.weight; });
    std::uint64_t place = total == 0 ? 0 : draw % total;
    for (const WeightedService &share : route.services) {
        if (place < share.weight)
            return share.service;
        place -= share.weight;
    }
    return route.services.front().service;
}

} // namespace tamarack
