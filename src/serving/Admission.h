#pragma once

#include "serving/CrashLedger.h"
#include "serving/FreshnessGuard.h"
#include "serving/QuotaLedger.h"
#include "serving/RequestFacts.h"
#include "serving/ServingConfig.h"
#include "tamarackseam/ErrorKind.h"

#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// A refusal that is decided before a request waits.
struct Denial
{
    ErrorKind kind = ErrorKind::Internal;
    Duration retryAfter{};
};

/// What admission finds out about a request, as far as it came.
struct AdmittedRequest
{
    Route route;
    std::string service;
    /// Empty on routes that need no key.
    std::string workspace;
    TierRank tier = 0;
    std::uint64_t configVersion = 0;
    /// What the request costs the workspace's quota, in its unit, and what was taken.
    double cost = 0;
    double charged = 0;
};

/// The parts of a request that admission looks at beyond its facts.
struct RequestParts
{
    std::string_view path;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

RequestFingerprint requestFingerprint(const std::string &workspace, const RequestParts &parts);

/// The configuration that is proved to be in force again is known within about this time.
constexpr milliseconds unprovedReturn{500};

/// Decides whether a request may wait for an upstream: route, key, quarantine, quota, in this
/// order. A negative answer about routes and keys is given only by a configuration that is proved
/// to be current; otherwise the request is refused as unproved.
class Admission
{
public:
    Admission(const FreshnessGuard &freshness, const CrashLedger &crashes, QuotaLedger &quotas);

    /// `config` may be null. Fills `admitted` as far as the request comes; empty: it may wait.
    std::optional<Denial> admit(const ServingConfig *config, const RequestFacts &facts,
                                const RequestParts &parts, AdmittedRequest &admitted, TimePoint now,
                                BootTime bootTime) const;

private:
    std::optional<Denial> findRoute(const ServingConfig &config, const RequestFacts &facts,
                                    std::string_view path, AdmittedRequest &admitted,
                                    BootTime bootTime) const;
    std::optional<Denial> checkKey(const ServingConfig &config, const RequestFacts &facts,
                                   AdmittedRequest &admitted, BootTime bootTime) const;
    std::optional<Denial> chargeQuota(AdmittedRequest &admitted, TimePoint now) const;

    const FreshnessGuard &m_freshness;
    const CrashLedger &m_crashes;
    QuotaLedger &m_quotas;
};

} // namespace tamarack
