#pragma once

#include "base/Time.h"
#include "serving/DecayingCount.h"
#include "serving/EngineTimeModel.h"
#include "serving/LimitShare.h"
#include "serving/OccupancyModel.h"
#include "serving/ProcessIdentity.h"
#include "serving/StreamOrigin.h"
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

/// Load that one entry puts on one upstream.
struct UpstreamLoad
{
    std::uint32_t inFlight = 0;
    /// Prompt tokens of the requests that have not yet returned their first token.
    std::uint32_t prefillTokens = 0;

    bool operator==(const UpstreamLoad &) const = default;
};

/// Outcome of an attempt, as evidence of the health of its upstream.
enum class HealthSignal : std::uint8_t {
    Good,
    /// No connection, or it was lost before a response.
    Unreachable,
    /// An error, an invalid response or a timeout.
    Faulty,
    /// The upstream refused the request without running it.
    Full,
};

/// State of one upstream as known to this entry.
struct UpstreamState
{
    UpstreamRecord record;
    UpstreamKey key = 0;
    /// Load from this entry.
    UpstreamLoad own;
    /// Sum of the loads last reported by the other entries.
    UpstreamLoad others;
    /// Response time relative to the average engine of its service.
    double factor = 1;
    /// The factor is measured from the intervals between events. Before, it is estimated from times
    /// to the first token, which depend more on the network and the queue.
    bool paceKnown = false;
    /// Fraction of attempts that failed, as an exponential moving average.
    double failureShare = 0;
    int failuresInRow = 0;
    /// No new requests before this.
    TimePoint blockedUntil{};
    /// It has left or is draining; requests in flight continue.
    bool gone = false;
    /// The store has listed it as draining. It will not become ready again.
    bool drained = false;
    TimePoint restartSuspectedUntil{};
    /// A process responds that may not be the listed incarnation; until then the store may not list
    /// it yet.
    TimePoint unlistedUntil{};
    /// It could not be connected to, and no process has responded since.
    bool wasUnreachable = false;
    /// Earliest time to ask again whether it has restarted, and whether it is being asked.
    TimePoint nextRestartCheck{};
    bool isRestartCheckRunning = false;
    /// A connection has ended since its process was asked what it is.
    bool connectionsEnded = false;
    /// It was asked when its process was started and did not say.
    bool reportsNoStart = false;
    /// When `removeGone` first saw it as gone.
    std::optional<TimePoint> goneSince;
    /// It belongs to another exchange group, whose load on it is not known here.
    bool foreign = false;
    /// No exchange group has it for itself.
    bool shared = true;
    UpstreamTerms terms;
    /// Its software version is not for all requests.
    bool versionWithheld = false;
    /// Earliest time of the next health check, if one is needed.
    TimePoint nextHealthCheck{};
    /// What it states of its load; without a reading unless the table uses such statements.
    OccupancyModel occupancy;
    /// This entry's rank among those that start requests there.
    EntryRank rank;
    /// It has stated a load that could not be parsed.
    bool statedOddLoad = false;
    /// True for a model engine, which slows down with every request, false for a plain service.
    bool engine = false;

    /// Whether it must be remembered while the store does not list it.
    bool isRestricted() const { return drained || !terms.isUnrestricted(); }
    /// Whether its report may tell this incarnation from another.
    bool reportsStart() const { return !reportsNoStart && record.born != 0; }
    /// Requests there that the entries count.
    std::uint32_t inFlight() const { return own.inFlight + others.inFlight; }
    /// Estimated number of requests there: `inFlight`, corrected by what the upstream states.
    std::uint32_t requests(TimePoint now) const
    {
        return occupancy.requests(inFlight(), own.inFlight, now);
    }
    std::uint32_t prefillTokens() const { return own.prefillTokens + others.prefillTokens; }
};

using UpstreamPtr = std::shared_ptr<UpstreamState>;

/// The upstreams by service, with their load and health.
///
/// Upstreams may fail or slow down while their health checks pass, so health is judged by the
/// outcomes of real requests: an unhealthy upstream gets one probe request at a time, at increasing
/// intervals, and recovers with the first successful response.
class UpstreamTable
{
public:
    /// Replaces the set of listed upstreams and marks missing ones as gone. An incarnation that was
    /// listed as draining stays gone, since writes of upstreams may reach the store late and the
    /// store may return an older state. The restrictions of missing ones are kept for a while,
    /// because the store may list them again. A newly listed incarnation inherits the terms of the
    /// one that was listed under its id before, since its own responses may have been attributed to
    /// that one. Returns those that inherited restrictions.
    std::vector<UpstreamPtr> assign(const std::vector<UpstreamRecord> &records);
    /// The incarnation that the store lists under the id of `upstream`, if it is another one.
    UpstreamPtr otherIncarnation(const UpstreamState &upstream) const;
    /// The origin of a stream whose first event this upstream has written. It is ambiguous if the
    /// store lists another incarnation by now, or may do so later.
    StreamOrigin originAt(const UpstreamState &upstream, StreamKey stream, TimePoint now) const;
    /// Until then, the upstream may be another incarnation than the one listed: it refused a
    /// connection, or reported another start.
    static void suspectRestart(UpstreamState &upstream, TimePoint until);
    /// No connection to the upstream could be made.
    static void recordUnreachable(UpstreamState &upstream, TimePoint now);
    /// This process has responded at the address of the upstream.
    static void recordProcess(UpstreamState &upstream, ProcessIdentity process, TimePoint now);
    /// Within this time the store usually lists an upstream that has restarted.
    static constexpr milliseconds listingDelay{3000};
    /// An upstream that refuses connections may be back within this time.
    static constexpr milliseconds longestRestart{15'000};
    /// Upstreams of the service that may have restarted.
    std::vector<UpstreamPtr> restartSuspects(std::string_view service, TimePoint now) const;
    /// Whether it is certain which version began the stream. The store may list a restart of an
    /// upstream late, so that streams of the incarnation listed before may be the new one's. Both
    /// may have the same version.
    bool isCertain(const StreamOrigin &origin) const;
    /// Whether all listed upstreams of each service have the version given for it.
    bool haveVersions(const std::map<std::string, std::string> &versions) const;
    /// An upstream of the service that is listed with another version; null if there is none.
    UpstreamPtr ofOtherVersion(std::string_view service, std::string_view version) const;
    /// An upstream of the service at which a process responds that may not be the listed
    /// incarnation; null if there is none. An upstream at which nothing responds begins no streams.
    UpstreamPtr withUnlistedProcess(std::string_view service, TimePoint now) const;
    /// Whether the service has an upstream of the software version.
    bool offersVersion(std::string_view service, std::string_view version) const;
    /// Listed upstreams that count as leaving until a health check shows that they are not.
    std::vector<UpstreamPtr> unconfirmed(TimePoint now) const;

    /// Divides the upstreams of each service among the exchange groups, of which this entry belongs
    /// to `own`. Services with few upstreams are not divided.
    void setGroups(std::size_t groups, std::size_t own);

    /// Sets the services that are backed by model engines.
    void setEngines(const std::set<std::string> &services);

    /// Replaces the loads of the other entries, by upstream.
    void setOthers(const std::unordered_map<UpstreamKey, UpstreamLoad> &loads);

    /// Replaces the terms reported by the other entries; returns the upstreams whose terms changed.
    std::vector<std::pair<UpstreamPtr, TermsChanges>>
    setReports(std::unordered_map<UpstreamKey, std::vector<ReceivedTerms>> reports);
    /// Records what the upstream stated in an answer that this entry has just read.
    static void recordOccupancy(UpstreamState &upstream, const UpstreamOccupancy &stated,
                                TimePoint now);
    /// Records what other entries have read; the newest statement of an upstream holds.
    void applyOccupancies(const std::vector<std::pair<ReportedOccupancy, TimePoint>> &received);
    /// Recent statements that this entry has read itself.
    std::vector<ReportedOccupancy> occupancyReports(TimePoint now) const;
    /// Ranks the entries at each upstream; `others` are those that may start requests besides.
    void rankEntries(std::string_view own, const std::set<std::string> &others);

    /// Removes upstreams that have been gone for long enough.
    void removeGone(TimePoint now);
    /// Recomputes this entry's share of each limit; `group`: those of its exchange group alone.
    void shareLimits(const LimitMembers &members, const LimitMembers &group);
    void shareLimits(const LimitMembers &members) { shareLimits(members, members); }
    /// Terms that this entry reports to the others.
    std::vector<TermsReport> termsReports(TimePoint now) const;
    /// Numbers of upstreams that state a limit, that have stated that they are leaving, and that
    /// have asked for no requests for a while.
    std::size_t limited() const;
    std::size_t leaving() const;
    std::size_t closed(TimePoint now) const;
    /// When the first upstream of the service reopens; none while any of them is open.
    std::optional<TimePoint> opensAt(std::string_view service, TimePoint now) const;

    const std::vector<UpstreamPtr> &ofService(std::string_view service) const;
    /// Those that are not foreign.
    const std::vector<UpstreamPtr> &ofOwnGroup(std::string_view service) const;

    void started(UpstreamState &upstream, std::uint32_t promptTokens, TimePoint now);
    void firstToken(UpstreamState &upstream, std::uint32_t promptTokens);
    void ended(UpstreamState &upstream);
    void recordFirstToken(UpstreamState &upstream, std::uint32_t tokens, Duration took);
    void recordEvents(UpstreamState &upstream, std::uint32_t events, Duration took);
    void recordHealth(UpstreamState &upstream, HealthSignal sign, TimePoint now);

    const EngineTimeModel &model(std::string_view service) const;

    /// Maximum number of concurrent requests that the upstream should have.
    static int limit(const UpstreamState &upstream, TimePoint now);
    /// Number of requests that may start at the upstream now.
    static int freePlaces(const UpstreamState &upstream, TimePoint now);
    /// Recent rate of this entry's starts at the service's upstreams.
    double startsPerSecond(std::string_view service, TimePoint now) const;

    /// An upstream at which more requests wait than this queues; others keep it from running dry.
    static constexpr std::uint32_t fewWaiting = 3;

    /// Withholds the versions of the service from requests in general; returns whether that changed
    /// anything.
    bool withholdVersions(std::string_view service, const std::set<std::string> &versions);
    bool isWithheld(std::string_view service, std::string_view version) const;
    /// Software versions of the listed upstreams, by service.
    std::map<std::string, std::set<std::string>> versions() const;

    /// Number of places at the upstreams of the service.
    int places(std::string_view service, TimePoint now) const;
    /// Number of free places at the upstreams of the service, but for those of withheld versions.
    int freePlaces(std::string_view service, TimePoint now) const;

    /// Nonzero loads from this entry.
    std::vector<std::pair<UpstreamKey, UpstreamLoad>> ownLoads() const;

private:
    struct ServiceState
    {
        std::vector<UpstreamPtr> upstreams;
        std::vector<UpstreamPtr> ofOwnGroup;
        EngineTimeModel model;
        DecayingCount starts{startRateTime};
    };
    /// Decay time of the start rate.
    static constexpr milliseconds startRateTime{500};

    void rankEntries(UpstreamState &upstream) const;

    void divide();
    /// The upstreams whose places count: those of the own group, or all if none of these is usable.
    const std::vector<UpstreamPtr> &withPlaces(std::string_view service, TimePoint now) const;

    template <std::predicate<const UpstreamTerms &> Holds>
    std::size_t countTerms(Holds holds) const;

    std::map<std::string, ServiceState, std::less<>> m_services;
    template <std::predicate<const UpstreamState &> IsObsolete>
    void eraseUpstreams(IsObsolete isObsolete);

    std::unordered_map<UpstreamKey, UpstreamPtr> m_byKey;
    /// The incarnation last listed under each id.
    std::unordered_map<std::string, UpstreamPtr> m_lastListed;
    std::set<std::string> m_engines;
    std::string m_rankedEntry;
    std::set<std::string> m_rankedOthers;
    std::size_t m_groups = 1;
    std::size_t m_ownGroup = 0;
};

} // namespace tamarack
