#pragma once

#include "base/Time.h"
#include "config/FleetConfig.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// Determines whether a request may be retried. A stream counts as non-idempotent unless its route
/// is resumable.
enum class RequestKind : std::uint8_t { Idempotent, NonIdempotent, Stream };

/// One of the services among which a route splits its requests.
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 0;

    bool operator==(const WeightedService &) const = default;
};

/// Services and limits for the requests of one host and path prefix.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// Maximum time until the complete response.
    milliseconds timeout{0};
    /// Latency objective: for the first event of a stream, otherwise for the complete response.
    milliseconds objective{0};
    /// Latency objective for the interval between two events of a stream; 0: none.
    milliseconds eventGapObjective{0};
    TierRank tier = 0;
    std::vector<WeightedService> services;
    /// Maximum number of upstreams that may run one request.
    int maxAttempts = 1;
    /// Requests need no API key.
    bool isPublic = false;
    /// Requests list the parts of their prompts, so that they can be sent to upstreams that have
    /// these parts in their cache.
    bool affinity = false;
    /// An interrupted stream may be resumed at another upstream after its last complete event.
    bool resumable = false;

    bool repeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable);
    }
};

/// Properties of the model engine behind a service.
struct EngineFacts
{
    int slots = 0;
    std::uint64_t kvTokens = 0;
    /// Output tokens in one event of a stream.
    int tokensPerEvent = 1;
};

struct Service
{
    std::string name;
    /// Maximum number of connections that one upstream accepts from all clients together; 0:
    /// unlimited.
    int maxConnections = 0;
    /// Path of the health check of its upstreams; empty if they have none.
    std::string healthCheckPath;
    std::optional<EngineFacts> engine;
};

enum class QuotaUnit : std::uint8_t { Requests, Tokens };

struct Workspace
{
    std::string name;
    std::vector<std::string> keys;
    /// Takes precedence over the tier of the route.
    std::optional<TierRank> tier;
    QuotaUnit unit = QuotaUnit::Requests;
    /// Cost of a request if the unit is requests, or if the request states no token count.
    double defaultCost = 1;
    /// Units per second over all hosts; 0: unlimited.
    double rate = 0;
    double burst = 0;
};

/// Limits on the size of a client's request and on the time to receive it.
struct ClientLimits
{
    std::size_t headerBytes = 16 << 10;
    std::size_t bodyBytes = 4 << 20;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

/// One version of the operator's configuration: routes, services, workspaces. Immutable after
/// `buildIndexes` has been called and the configuration is shared.
struct ServingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    ClientLimits limits;

    /// Builds the indexes behind the lookups.
    void buildIndexes();

    /// The route of the host with the longest matching path prefix; null if none matches.
    const Route *route(std::string_view host, std::string_view path) const;
    /// The workspace that owns the API key; null if none does.
    const Workspace *workspaceOf(std::string_view key) const;
    const Service *service(std::string_view name) const;

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_workspaceByKey;
    std::unordered_map<std::string, std::size_t> m_serviceByName;
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

/// Selects one of the route's services by weight; `draw` is a uniform random number.
const std::string &chooseService(const Route &route, std::uint64_t draw);

} // namespace tamarack
