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

/// What may be repeated. A stream counts as non-idempotent unless its route is resumable.
enum class RequestKind : std::uint8_t { Idempotent, NonIdempotent, Stream };

/// One of the services among which a route splits its requests.
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 0;

    bool operator==(const WeightedService &) const = default;
};

/// Where requests of one host and path prefix go, and what they may expect.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// Longest time that a client is kept waiting for the whole answer.
    milliseconds timeout{0};
    /// Latency objective: of the first event for streams, of the whole answer otherwise.
    milliseconds objective{0};
    /// Longest pause between events of a stream that still counts as on time; 0: none.
    milliseconds pauseBound{0};
    TierRank tier = 0;
    std::vector<WeightedService> services;
    /// Number of upstreams to which one request may be sent.
    int maxAttempts = 1;
    /// Needs no key.
    bool open = false;
    /// Requests name the parts of their prompts, which upstreams cache.
    bool affinity = false;
    /// A broken stream may go on at another upstream after its last event.
    bool resumable = false;

    bool repeatable() const { return kind == RequestKind::Idempotent || resumable; }
};

/// A service with a model engine behind it.
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
    /// Connections that one upstream accepts from all callers; 0: unbounded.
    int maxConnections = 0;
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
    /// What a request without a token count costs where the unit is tokens.
    double plainCost = 1;
    /// Units per second over all hosts; 0: unlimited.
    double rate = 0;
    double burst = 0;
};

/// What a client may send, and how long it may take.
struct ClientLimits
{
    std::size_t headerBytes = 16 << 10;
    std::size_t bodyBytes = 4 << 20;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

/// One version of the configuration that the operator writes: routes, services, workspaces.
/// Immutable once shared, after `index`.
struct ServingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    ClientLimits limits;

    /// Builds the indexes behind the lookups.
    void index();

    /// The route of the host with the longest prefix of the path; null when none matches.
    const Route *route(std::string_view host, std::string_view path) const;
    /// Null when no workspace holds the key.
    const Workspace *workspaceOf(std::string_view key) const;
    const Service *service(std::string_view name) const;

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_workspaceByKey;
    std::unordered_map<std::string, std::size_t> m_serviceByName;
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

/// The service that a request of the route goes to; `draw` is a uniform random number.
const std::string &chooseService(const Route &route, std::uint64_t draw);

} // namespace tamarack
