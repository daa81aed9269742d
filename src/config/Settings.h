#pragma once

#include "base/Time.h"
#include "config/JsonObjectReader.h"
#include "fleet/ExchangeGroups.h"
#include "serving/RetryBudget.h"
#include "serving/RolloutBounds.h"
#include "serving/SchedulingOptions.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace tamarack {

/// `Direct` is an entry that sends requests to their upstreams itself.
enum class Role { Entry, Upstream, Direct };

/// An address and a port, written `ADDRESS:PORT`. Addresses are IP numbers.
struct Endpoint
{
    std::string address;
    unsigned short port = 0;

    bool operator==(const Endpoint &) const = default;
};

std::string toString(const Endpoint &endpoint);
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Server certificate of a listener; both files are PEM.
struct TlsSettings
{
    std::string certificateFile;
    std::string keyFile;
};

struct ListenerSettings
{
    Endpoint endpoint;
    std::optional<TlsSettings> tls;
};

/// A bearer token by digest, and whom it names.
struct TokenSettings
{
    std::string name;
    std::string tokenSha256;
    /// For operators: "admin" or "viewer".
    std::string role;
};

struct SeedSettings
{
    std::string name;
    Endpoint endpoint;
};

/// What the upstream process stands beside.
struct UpstreamSettings
{
    /// "engine" or "service".
    std::string kind;
    Endpoint endpoint;
    /// Models of an engine, or the one service name.
    std::vector<std::string> targets;
    bool checksFencing = false;
    int capacity = 0;
};

struct LimitSettings
{
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    std::size_t connections = 0;
    milliseconds readTimeout{0};
    std::size_t keptAnswerBytes = 0;
    /// Memory of the host; clients may hold a part of it.
    std::size_t memoryBytes = 0;
    /// Descriptors that the process may open; 0: as many as the system allows it.
    std::size_t descriptors = 0;
};

struct TimingSettings
{
    milliseconds heartbeat{0};
    milliseconds silence{0};
    milliseconds creditLife{0};
    milliseconds leaveBound{0};
    milliseconds settleBound{0};
    milliseconds claimBatch{0};
    milliseconds keyRetention{0};
};

/// What a direct entry needs besides.
struct DirectSettings
{
    /// Where the balancer asks whether this host takes connections.
    ListenerSettings readiness;
    /// The platform's store.
    Endpoint store;
    /// A key that was taken away must not work for longer.
    milliseconds revokeBound{0};
    /// An upstream that the store lists as leaving must not get new requests for longer.
    milliseconds drainBound{2000};
    /// Time between the signal to stop and the kill.
    milliseconds stopGrace{0};
    RetryBounds retries;
    /// Fraction of a service's sends that may be second sends of slow requests; 0: none.
    double hedgeShare = 0;
    /// Over which the quotas of workspaces are judged.
    milliseconds quotaWindow{0};
    /// Without these, orders to move a service to another software version are not read.
    std::optional<RolloutBounds> rollouts;
    /// What upstreams state of their load counts when requests are placed.
    bool usesOccupancy = false;
    GroupBounds groups;
    SchedulingOptions scheduling;
};

/// Settings of one process, read from one JSON document and fixed until it restarts,
/// but for the log level, tokens and seeds.
struct Settings
{
    Role role = Role::Entry;
    std::string name;
    std::string dataCentre;
    ListenerSettings caller;
    ListenerSettings admin;
    Endpoint peer;
    std::string peerKey;
    std::vector<SeedSettings> seeds;
    std::optional<Endpoint> objectApi;
    std::optional<Endpoint> hostList;
    std::vector<TokenSettings> workspaces;
    std::vector<TokenSettings> operators;
    std::size_t threads = 0;
    std::string logLevel;
    std::string logFile;
    UpstreamSettings upstream;
    DirectSettings direct;
    LimitSettings limits;
    TimingSettings timing;
};

using SettingsResult = tl::expected<Settings, std::vector<DocumentFault>>;

/// Checks the whole document and returns every fault, each with its path.
SettingsResult parseSettings(std::string_view text);

/// Reads and parses `path`; an unreadable file is a fault at path "(file)".
SettingsResult loadSettings(const std::string &path);

} // namespace tamarack
