#include "serving/Admission.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr milliseconds minQuotaRetryAfter{200};

std::string_view hostWithoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

RequestFingerprint requestFingerprint(const std::string &workspace, const RequestParts &parts)
{
    return fingerprint(workspace + ' ' + std::string(parts.target), parts.body);
}

Admission::Admission(const FreshnessGuard &freshness, const CrashLedger &crashes,
                     PartQuarantine &parts, QuotaLedger &quotas)
    : m_freshness(freshness)
    , m_crashes(crashes)
    , m_partQuarantine(parts)
    , m_quotas(quotas)
{}

std::optional<Denial> Admission::admit(const ServingConfig *config, const RequestFacts &facts,
                                       const RequestParts &parts, AdmittedRequest &admitted,
                                       TimePoint now, BootTime bootTime) const
{
    if (!config)
        return Denial{ErrorKind::ConfigUnproved, unprovedRetryAfter};
    if (auto denial = findRoute(*config, facts, parts.path, admitted, bootTime))
        return denial;
    if (auto denial = checkKey(*config, facts, admitted, bootTime))
        return denial;
    if (auto denial = checkQuarantine(facts, parts, admitted, now))
        return denial;
    return chargeQuota(admitted, now);
}

std::optional<Denial> Admission::checkQuarantine(const RequestFacts &facts,
                                                 const RequestParts &parts,
                                                 AdmittedRequest &admitted, TimePoint now) const
{
    const Denial denial{ErrorKind::SuspectHeld, quarantineRetryAfter};
    if (m_crashes.quarantinesAny()
        && m_crashes.isQuarantined(requestFingerprint(admitted.workspace, parts), now))
        return denial;
    if (!m_partQuarantine.isQuarantined(facts.promptParts))
        return std::nullopt;
    admitted.isTrial = m_partQuarantine.tryTrial(facts.promptParts, now);
    return admitted.isTrial ? std::nullopt : std::optional(denial);
}

std::optional<Denial> Admission::findRoute(const ServingConfig &config, const RequestFacts &facts,
                                           std::string_view path, AdmittedRequest &admitted,
                                           BootTime bootTime) const
{
    admitted.configVersion = config.version;
    const Route *route = config.route(hostWithoutPort(facts.host), path);
    if (!route) {
        const bool current = m_freshness.isCurrent(bootTime);
        return Denial{current ? ErrorKind::NotFound : ErrorKind::ConfigUnproved,
                      unprovedRetryAfter};
    }
    admitted.route = *route;
    admitted.service = chooseService(*route, fnv1a(facts.id));
    admitted.tier = route->tier;
    return std::nullopt;
}

std::optional<Denial> Admission::checkKey(const ServingConfig &config, const RequestFacts &facts,
                                          AdmittedRequest &admitted, BootTime bootTime) const
{
    if (config.workspaces.empty() || admitted.route.isPublic)
        return std::nullopt;
    const Workspace *workspace = config.workspaceOf(facts.key);
    if (!workspace && m_freshness.isCurrent(bootTime))
        return Denial{ErrorKind::Unauthorized, {}};
    if (!workspace || !m_freshness.isFresh(bootTime))
        return Denial{ErrorKind::ConfigUnproved, unprovedRetryAfter};
    admitted.workspace = workspace->name;
    admitted.tier = workspace->tier.value_or(admitted.route.tier);
    const bool counted = workspace->unit == QuotaUnit::Tokens && facts.promptTokens;
    admitted.cost = counted ? *facts.promptTokens + facts.outputTokens : workspace->defaultCost;
    return std::nullopt;
}

std::optional<Denial> Admission::chargeQuota(AdmittedRequest &admitted, TimePoint now) const
{
    const std::string &workspace = admitted.workspace;
    if (workspace.empty())
        return std::nullopt;
    if (m_quotas.tryReserve(workspace, admitted.cost, now)) {
        admitted.charged = admitted.cost;
        return std::nullopt;
    }
    const Duration room = m_quotas.timeUntilAvailable(workspace);
    return Denial{ErrorKind::QuotaExceeded, std::max<Duration>(room, minQuotaRetryAfter)};
}

} // namespace tamarack
