#pragma once

#include "serving/CrashLedger.h"
#include "serving/FreshnessGuard.h"
#include "serving/PartQuarantine.h"
#include "serving/QuotaLedger.h"
#include "serving/RequestFacts.h"
#include "serving/ServingConfig.h"
#include "tamarackseam/ErrorKind.h"

#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// A refusal that is decided before a request is queued.
struct Denial
{
    ErrorKind kind = ErrorKind::Internal;
    Duration retryAfter{};
};

/// Results of admission. After a denial, only the fields of the checks that passed are set.
struct AdmittedRequest
{
    Route route;
    std::string service;
    /// Empty on routes that need no key.
    std::string workspace;
    TierRank tier = 0;
    std::uint64_t configVersion = 0;
    /// Cost of the request in the unit of the workspace's quota, and the part of it that was
    /// charged.
    double cost = 0;
    double charged = 0;
    /// May be sent once although its prompt has a quarantined part.
    bool isTrial = false;
};

/// The parts of a request that admission inspects in addition to `RequestFacts`.
struct RequestParts
{
    std::string_view path;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

RequestFingerprint requestFingerprint(const std::string &workspace, const RequestParts &parts);

/// Retry-After while the configuration cannot be proved to be current: the proof is usually renewed
/// within about this time.
constexpr milliseconds unprovedRetryAfter{500};

/// Retry-After of a request that is held because it may crash upstreams.
constexpr std::chrono::seconds quarantineRetryAfter{5};

/// Decides whether a request may be queued for an upstream. Checks the route, the key, the
/// quarantine and the quota, in this order. A route or key is reported as unknown only if the
/// configuration is proved to be current; otherwise the request is refused with `ConfigUnproved`.
class Admission
{
public:
    Admission(const FreshnessGuard &freshness, const CrashLedger &crashes, PartQuarantine &parts,
              QuotaLedger &quotas);

    /// Returns the denial, or nothing if the request may be queued. `config` may be null. Fills
    /// `admitted` up to the check that fails.
    std::optional<Denial> admit(const ServingConfig *config, const RequestFacts &facts,
                                const RequestParts &parts, AdmittedRequest &admitted, TimePoint now,
                                BootTime bootTime) const;

private:
    std::optional<Denial> findRoute(const ServingConfig &config, const RequestFacts &facts,
                                    std::string_view path, AdmittedRequest &admitted,
                                    BootTime bootTime) const;
    std::optional<Denial> checkKey(const ServingConfig &config, const RequestFacts &facts,
                                   AdmittedRequest &admitted, BootTime bootTime) const;
    std::optional<Denial> checkQuarantine(const RequestFacts &facts, const RequestParts &parts,
                                          AdmittedRequest &admitted, TimePoint now) const;
    std::optional<Denial> chargeQuota(AdmittedRequest &admitted, TimePoint now) const;

    const FreshnessGuard &m_freshness;
    const CrashLedger &m_crashes;
    PartQuarantine &m_partQuarantine;
    QuotaLedger &m_quotas;
};

} // namespace tamarack
