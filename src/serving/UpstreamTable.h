#pragma once

#include "base/Time.h"
#include "serving/EngineTimeModel.h"
#include "serving/LimitShare.h"
#include "serving/UpstreamKey.h"
#include "serving/UpstreamRecord.h"
#include "serving/UpstreamTerms.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

UpstreamKey upstreamKey(const UpstreamRecord &record);

/// Requests of one sender at one upstream.
struct UpstreamLoad
{
    std::uint32_t inFlight = 0;
    /// Prompt tokens of the requests that have not had their first token.
    std::uint32_t prefillTokens = 0;

    bool operator==(const UpstreamLoad &) const = default;
};

/// How an attempt at an upstream ended, as far as its health is concerned.
enum class HealthSign : std::uint8_t {
    Good,
    /// No connection, or it broke without an answer.
    Unreachable,
    /// A failure, a spoiled answer or silence.
    Faulty,
    /// It refused without running the request.
    Full,
};

/// What this entry knows of one upstream.
struct UpstreamState
{
    UpstreamRecord record;
    UpstreamKey key = 0;
    /// Of this entry.
    UpstreamLoad own;
    /// Sum over the other entries, as last told.
    UpstreamLoad others;
    /// Time factor against the average engine of its service.
    double factor = 1;
    /// Share of recent attempts that failed, fading.
    double failureShare = 0;
    int failuresInRow = 0;
    /// No new requests before this, but for one that probes.
    TimePoint blockedUntil{};
    /// It has left or drains; requests in flight go on.
    bool gone = false;
    /// Since when, as far as `forgetLeft` has noticed.
    std::optional<TimePoint> goneSince;
    UpstreamTerms terms;
    /// A model engine, which slows down with every request, rather than a plain service.
    bool engine = false;

    std::uint32_t inFlight() const { return own.inFlight + others.inFlight; }
    std::uint32_t prefillTokens() const { return own.prefillTokens + others.prefillTokens; }
};

using UpstreamPtr = std::shared_ptr<UpstreamState>;

/// The upstreams by service, with their load and health.
///
/// Load: upstreams that fail or slow down while their health checks are good. Outcomes of real
/// requests decide: an upstream in trouble gets one probing request at a time, at growing
/// intervals, and recovers with the first good answer.
class UpstreamTable
{
public:
    /// Replaces the set of known upstreams. Those missing are gone. What they have said of
    /// themselves is kept in mind for a while: the store may list them again.
    void assign(const std::vector<UpstreamRecord> &records);

    /// Names the services with model engines behind them.
    void setEngines(const std::set<std::string> &services);

    /// Replaces the load of the other entries: key to load.
    void setOthers(const std::unordered_map<UpstreamKey, UpstreamLoad> &loads);

    /// Replaces what the other entries tell of upstreams; returns those of which it is news.
    std::vector<std::pair<UpstreamPtr, TermsNews>>
    setTold(std::unordered_map<UpstreamKey, std::vector<HeardTerms>> told);
    /// Forgets upstreams that have left.
    void forgetLeft(TimePoint now);
    /// Shares the limits among the entries.
    void shareLimits(const LimitMembers &members);
    /// What this entry tells the others of upstreams.
    std::vector<ToldTerms> told(TimePoint now) const;
    /// Upstreams that limit themselves, that have said that they leave, and that want no request
    /// for a while.
    std::size_t limited() const;
    std::size_t leaving() const;
    std::size_t closed(TimePoint now) const;
    /// When the first upstream of the service takes requests again; none while one takes them.
    std::optional<TimePoint> opensAt(std::string_view service, TimePoint now) const;

    const std::vector<UpstreamPtr> &ofService(std::string_view service) const;

    void started(UpstreamState &upstream, std::uint32_t promptTokens, TimePoint now);
    void firstToken(UpstreamState &upstream, std::uint32_t promptTokens);
    void ended(UpstreamState &upstream);
    void learnFirstToken(UpstreamState &upstream, std::uint32_t tokens, Duration took);
    void learnEvents(const UpstreamState &upstream, std::uint32_t events, Duration took);
    void learnHealth(UpstreamState &upstream, HealthSign sign, TimePoint now);

    const EngineTimeModel &model(std::string_view service) const;

    /// Requests that the upstream should hold at a time.
    static int limit(const UpstreamState &upstream, TimePoint now);

    /// Places left at the upstreams of the service.
    int freePlaces(std::string_view service, TimePoint now) const;

    /// Loads of this entry that are not zero.
    std::vector<std::pair<UpstreamKey, UpstreamLoad>> ownLoads() const;

private:
    struct ServiceState
    {
        std::vector<UpstreamPtr> upstreams;
        EngineTimeModel model;
    };

    template <std::predicate<const UpstreamTerms &> Holds>
    std::size_t countTerms(Holds holds) const;

    std::map<std::string, ServiceState, std::less<>> m_services;
    std::unordered_map<UpstreamKey, UpstreamPtr> m_byKey;
    std::set<std::string> m_engines;
};

} // namespace tamarack
