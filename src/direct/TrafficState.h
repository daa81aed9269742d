#pragma once

#include "base/BufferBudget.h"
#include "base/Metrics.h"
#include "config/Settings.h"
#include "direct/HealthChecker.h"
#include "direct/OriginExchange.h"
#include "direct/RestartChecker.h"
#include "direct/RolloutDesk.h"
#include "direct/UpstreamPool.h"
#include "fleet/ExchangeGroups.h"
#include "fleet/FarReports.h"
#include "fleet/GroupDigest.h"
#include "fleet/OriginSaving.h"
#include "fleet/ProofRelay.h"
#include "fleet/UpstreamLog.h"
#include "fleet/VersionRecord.h"
#include "serving/Admission.h"
#include "serving/CrashLedger.h"
#include "serving/DispatchQueue.h"
#include "serving/EntryLoad.h"
#include "serving/FreshnessGuard.h"
#include "serving/HedgePolicy.h"
#include "serving/PartQuarantine.h"
#include "serving/PeerRegistry.h"
#include "serving/QuotaLedger.h"
#include "serving/ReadLag.h"
#include "serving/RetryBudget.h"
#include "serving/ServingConfig.h"
#include "serving/SoleVersion.h"
#include "serving/StopWindow.h"
#include "serving/UpstreamListAge.h"
#include "serving/UpstreamTable.h"
#include "serving/WaitPolicy.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// Subtracted from the revocation bound: a store watch may miss changes for up to a second, and
/// some time passes between checking a request and sending it.
constexpr milliseconds proofMargin{1250};

/// Memory for responses that are held until they are complete. The smallest hosts have 88 MB.
constexpr std::size_t responseBufferBytes = 16 << 20;

/// One request's wait for an upstream.
struct QueueWait
{
    explicit QueueWait(const boost::asio::any_io_executor &executor)
        : signal(executor, TimePoint::max())
    {}

    bool decided() const { return assignment || refusal || abandoned; }

    /// Cancelled once the wait is decided.
    boost::asio::steady_timer signal;
    std::optional<Assignment> assignment;
    std::optional<QueueRefusal> refusal;
    bool abandoned = false;
};

/// Decision modules of a direct entry, and their connection to its requests. Used only on the
/// traffic thread.
class TrafficState
{
public:
    TrafficState(const Settings &settings, const boost::asio::any_io_executor &executor,
                 Metrics &metrics);

    void applyConfig(ServingConfigPtr config);
    void applyUpstreams(const std::vector<UpstreamRecord> &records);
    void applyPeer(const EntryLoad &load);
    /// The upstream list is current as of the delta's revision, and was at `currentAt`.
    void applyUpstreamsFollowed(const UpstreamDelta &delta, UpstreamSource source,
                                std::optional<BootTime> currentAt);
    void applyKnownEntries(const std::set<std::string> &names);
    /// Applies what a member of another exchange group tells about its group.
    void applyDigest(const GroupDigest &digest);
    /// What this entry tells other exchange groups about its own.
    GroupDigest ownDigest(TimePoint now) const;
    /// What other exchange groups must know soon.
    FarReports::Urgent farState() const;

    /// Queues the request; `wait` is decided either immediately or later.
    void enqueue(QueuedRequest request, std::shared_ptr<QueueWait> wait);
    /// Cancels an undecided wait and removes its request from the queue.
    void abandon(Ticket ticket);
    /// Runs the dispatch queue. Call after an attempt has ended or an upstream has changed.
    void pump();
    /// Returns the place of an attempt that has ended; `prefilled`: it had its first token.
    void releasePlace(const Assignment &assignment, const std::string &service, QueueRank rank,
                      bool prefilled);
    Ticket nextTicket() { return ++m_lastTicket; }

    /// Applies the statement about itself that an upstream made in a response.
    void applyStatement(UpstreamState &upstream, const UpstreamStatement &statement,
                        TimePoint sentAt);
    /// Records what an upstream states of its load in a response.
    void recordOccupancy(UpstreamState &upstream, const ResponseFacts &response, TimePoint sentAt);
    /// Records that an attempt broke off before its response was complete, and checks whether the
    /// upstream still accepts connections.
    void recordBrokenAttempt(const UpstreamPtr &upstream, RequestFingerprint fingerprint,
                             std::span<const PromptPart> prompt, TimePoint now);
    /// Records that the upstream has written the first event of the stream.
    /// `identified`: the upstream's process has reported to be the listed incarnation.
    StreamOrigin beginStream(StreamKey stream, const UpstreamState &upstream, bool identified);
    /// Records that the client has received the whole stream.
    void endStream(StreamKey stream) { m_originSaving.remove(stream); }
    /// Applies the origins of streams that an entry wrote to the store before this process started;
    /// `own`: it was this entry.
    void applySavedOrigins(const std::vector<StreamOrigin> &saved, bool own);
    /// Applies what the store's record proves of the versions of streams.
    void applySoleVersions(SoleVersions proved);
    SoleVersion soleVersion(const std::string &service) const;
    /// Asks the upstreams of the service that may have restarted what they are. Returns one that
    /// could not be asked; null if there is none.
    boost::asio::awaitable<UpstreamPtr> checkRestarts(const std::string &service);
    /// Writes the origins to the store again, which may have lost them.
    void saveOriginsAgain() { m_originSaving.saveAgain(); }
    /// The write that `onOriginsDue` has announced has ended.
    void originsSaved(bool succeeded) { m_originSaving.recordEnd(succeeded); }
    /// Records a complete, successful response to a request with this prompt.
    void recordAnswer(std::span<const PromptPart> prompt, TimePoint now);
    /// Records that no connection to the upstream could be made. Attempts that broke off shortly
    /// before are attributed to a crash of the upstream.
    void upstreamUnreachable(UpstreamState &upstream, TimePoint now);

    /// The load report for the other entries.
    EntryLoad ownLoad() const;
    /// Called when `ownLoad` has changed in a way that the others need promptly.
    std::function<void()> onLoadChanged;

    /// The part of the load report on which other entries act immediately.
    struct UpdateVersions
    {
        std::uint64_t configVersion = 0;
        /// Position of the latest upstream change; revision 0 if this entry is not a follower.
        StorePosition upstreamPosition;
        /// Number of upstream statements so far that changed anything.
        std::uint64_t statements = 0;

        bool operator==(const UpdateVersions &) const = default;
    };
    UpdateVersions updateVersions() const;

    /// The response to another entry's proof request; none if this entry cannot currently vouch
    /// for the store's state.
    std::optional<ProofResponse> makeProofResponse(const ProofRequest &request) const;
    void applyProof(const ProofResponse &response);
    /// Called when a proof request is due, with the name of the follower to send it to.
    std::function<void(const std::string &, const ProofRequest &)> onProofRequest;
    /// Called with the time at which the store answered a follower.
    std::function<void(BootTime)> onStoreAnswerRelayed;
    /// Called with the time at which a follower's proof shows the configuration to be current.
    std::function<void(BootTime)> onProofRelayed;
    /// Called with upstream changes received from a follower and the time it was asked.
    std::function<void(const UpstreamDelta &, BootTime)> onUpstreamsRelayed;
    /// Called when origins of this entry's streams should be written to the store.
    std::function<void(OriginSaving::Write)> onOriginsDue;
    /// Called when this entry starts or stops watching the store on behalf of others.
    std::function<void(bool)> onElected;
    /// Called when another entry reports a newer configuration or newer upstream changes.
    std::function<void(std::uint64_t configVersion, StorePosition upstreams)> onPeerUpdate;

    /// Reports the clock reading that `readLag` expects, and logs when the thread falls behind.
    void recordLateness(TimePoint now);
    /// Periodic work: updates gauges and limits, runs the election and drops expired state.
    void tick(TimePoint now);

    Settings settings;
    boost::asio::any_io_executor executor;
    Metrics &metrics;
    Incarnation incarnation;
    ServingConfigPtr config;
    FreshnessGuard freshness;
    UpstreamTable upstreams;
    UpstreamListAge upstreamListAge;
    DispatchQueue queue;
    RolloutDesk rollouts;
    QuotaLedger quotas;
    RetryBudget retries;
    HedgePolicy hedging;
    CrashLedger crashes;
    PartQuarantine partQuarantine;
    Admission admission;
    PeerRegistry peers;
    ExchangeGroups groups;
    ProofRelay proofs;
    OriginExchange origins;
    AttemptAgeEstimator attemptAge;
    UpstreamPool pool;
    HealthChecker healthChecker;
    RestartChecker restartChecker;
    ReadLag readLag;
    StopWindow stopWindow;
    BufferBudget responseBuffers{responseBufferBytes};
    bool draining = false;

private:
    /// Divides the decisions on trials of quarantined parts among the reachable entries.
    void updateTrialOwners(TimePoint now);
    /// Logs and counts changes to the quarantined prompt parts.
    void logPartQuarantines();
    /// Checks upstreams that count as leaving because of another incarnation's statement.
    void checkUnconfirmed(TimePoint now);
    /// Applies the peer reports received since the last call.
    void applyPeerReports(TimePoint now);
    void applyDecisions(const QueueDecisions &decisions);
    void scheduleRefusals();
    /// Elects the followers of this data centre and requests a proof from one of them.
    void updateFollowers(TimePoint now);
    void requestProof(TimePoint now);
    void checkPeerUpdates(const EntryLoad &load);
    /// The other reachable entries that take requests.
    std::set<std::string> servingNames(TimePoint now) const;
    /// Divides the limits reported by upstreams among the entries whose reports are received.
    void shareLimits(TimePoint now);
    /// Logs and counts changes to an upstream's terms, reported by itself or by other entries;
    /// drops its pooled connections if it is leaving.
    void logTermsChanges(const UpstreamState &upstream, TermsChanges changes,
                         std::string_view source);

    std::unordered_map<Ticket, std::shared_ptr<QueueWait>> m_waits;
    /// The attempts of the last moments that an upstream broke off.
    struct BrokenAttempts
    {
        TimePoint firstAt{};
        std::vector<RequestFingerprint> fingerprints;
        std::vector<PartCrash> parts;
    };

    std::unordered_map<UpstreamKey, BrokenAttempts> m_brokenAttempts;
    std::set<PromptPartId> m_loggedQuarantines;
    boost::asio::steady_timer m_refusalTimer;
    boost::asio::steady_timer m_peerTimer;
    TimePoint m_startedAt;
    bool m_peersChanged = false;
    std::set<std::string> m_heard;
    /// Elected followers of this data centre.
    std::vector<std::string> m_followers;
    /// Entries to which proof requests are sent in turn.
    std::vector<std::string> m_proofSources;
    bool m_elected = true;
    std::uint64_t m_reportedConfig = 0;
    StorePosition m_reportedUpstreams;
    UpstreamLog m_upstreamLog;
    OriginSaving m_originSaving;
    SoleVersions m_soleVersions;
    /// When the upstreams were listed first.
    std::optional<TimePoint> m_upstreamsListedAt;
    /// Position of the last change received from this entry's own watch.
    StorePosition m_upstreamPosition;
    TimePoint m_upstreamsFollowedAt{};
    std::uint64_t m_statements = 0;
    /// Crashes that this entry has found itself.
    std::uint64_t m_ownCrashes = 0;
    TimePoint m_refusalAt = TimePoint::max();
    Ticket m_lastTicket = 0;
};

} // namespace tamarack
