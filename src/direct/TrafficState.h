#pragma once

#include "base/Metrics.h"
#include "config/Settings.h"
#include "direct/UpstreamPool.h"
#include "fleet/ProofRelay.h"
#include "fleet/UpstreamLog.h"
#include "serving/Admission.h"
#include "serving/CrashLedger.h"
#include "serving/DispatchQueue.h"
#include "serving/EntryLoad.h"
#include "serving/FreshnessGuard.h"
#include "serving/PeerRegistry.h"
#include "serving/QuotaLedger.h"
#include "serving/ReadLag.h"
#include "serving/RetryBudget.h"
#include "serving/ServingConfig.h"
#include "serving/UpstreamTable.h"
#include "serving/WaitPolicy.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// A watch of the store may hear nothing for a second while changes are made, and the send of a
/// request takes a moment after its check.
constexpr milliseconds proofMargin{1250};

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

/// Decision modules of a direct entry, and what connects them to its requests. Lives on the
/// traffic thread.
class TrafficState
{
public:
    TrafficState(const Settings &settings, const boost::asio::any_io_executor &executor,
                 Metrics &metrics);

    void applyConfig(ServingConfigPtr config);
    void applyUpstreams(const std::vector<UpstreamRecord> &records);
    void applyPeer(const EntryLoad &load);
    /// The upstreams are known up to the delta's revision.
    void applyUpstreamsFollowed(const UpstreamDelta &delta, UpstreamSource source);
    void applyKnownEntries(const std::set<std::string> &names);

    /// Queues the request; `wait` is decided now or later.
    void enqueue(QueuedRequest request, std::shared_ptr<QueueWait> wait);
    /// Gives up a wait that is not decided.
    void abandon(Ticket ticket);
    /// An attempt has ended or an upstream has changed: others may start.
    void pump();
    Ticket nextTicket() { return ++m_lastTicket; }

    /// Takes what an answer of the upstream says of it.
    void hearStatement(UpstreamState &upstream, const UpstreamStatement &statement,
                       TimePoint sentAt);
    /// An attempt at the upstream broke off before its answer was whole.
    void attemptBroke(const UpstreamState &upstream, RequestFingerprint fingerprint, TimePoint now);
    /// No connection could be made: attempts that broke off just before met a crash.
    void upstreamUnreachable(const UpstreamState &upstream, TimePoint now);

    /// What this entry tells the others now.
    EntryLoad ownLoad() const;
    /// Called when `ownLoad` has changed in a way that others wait for.
    std::function<void()> onLoadChanged;

    /// What this entry tells and others act on at once.
    struct News
    {
        std::uint64_t configVersion = 0;
        /// Revision of the upstreams as of the store; 0: no follower.
        std::uint64_t upstreamRevision = 0;
        /// Grows with each statement of an upstream that is news.
        std::uint64_t statements = 0;

        bool operator==(const News &) const = default;
    };
    News news() const;

    /// The answer to another entry's ask; none when this entry does not follow the store.
    std::optional<StoreAnswer> answerProof(const StoreAsk &ask) const;
    void learnProof(const StoreAnswer &answer);
    /// Called when an ask is due, with the follower's name.
    std::function<void(const std::string &, const StoreAsk &)> onStoreAsk;
    /// Called with the time at which a follower's proof held.
    std::function<void(BootTime)> onProofRelayed;
    /// Called with what a follower says of upstreams.
    std::function<void(const UpstreamDelta &)> onUpstreamsRelayed;
    /// Called when this entry begins or ends to follow the store for others.
    std::function<void(bool)> onElected;
    /// Called when another entry knows a newer configuration, or newer changes of upstreams.
    std::function<void(std::uint64_t configVersion, std::uint64_t upstreamRevision)> onNewsTold;

    /// A look at the clock that `readLag` expects is made.
    void noteLateness(TimePoint now);
    /// Regular work: forgets what is old.
    void tick(TimePoint now);

    Settings settings;
    boost::asio::any_io_executor executor;
    Metrics &metrics;
    Incarnation incarnation;
    ServingConfigPtr config;
    FreshnessGuard freshness;
    UpstreamTable upstreams;
    DispatchQueue queue;
    QuotaLedger quotas;
    RetryBudget retries;
    CrashLedger crashes;
    Admission admission;
    PeerRegistry peers;
    ProofRelay proofs;
    AttemptAge attemptAge;
    UpstreamPool pool;
    ReadLag readLag;
    bool draining = false;

private:
    /// Takes over what the other entries said since it was called last.
    void usePeers(TimePoint now);
    void settle(const QueueDecisions &decisions);
    void armRefusals();
    /// Elects the followers of this data centre and asks one of them for its proof.
    void followStore(TimePoint now);
    void askFollower(TimePoint now);
    void noticeNews(const EntryLoad &load);
    /// Shares the limits that upstreams name among the entries that are heard.
    void shareLimits(TimePoint now);
    /// Logs and counts what an upstream or another entry has said, and closes what it ends.
    void noteTerms(const UpstreamState &upstream, TermsChanges news, std::string_view source);

    std::unordered_map<Ticket, std::shared_ptr<QueueWait>> m_waits;
    std::unordered_map<UpstreamKey, std::pair<TimePoint, std::vector<RequestFingerprint>>> m_broken;
    boost::asio::steady_timer m_refusalTimer;
    boost::asio::steady_timer m_peerTimer;
    TimePoint m_startedAt;
    bool m_peersChanged = false;
    std::set<std::string> m_heard;
    /// Of this data centre.
    std::vector<std::string> m_followers;
    /// Entries that are asked in turn.
    std::vector<std::string> m_asked;
    bool m_elected = true;
    std::uint64_t m_noticedConfig = 0;
    std::uint64_t m_noticedUpstreams = 0;
    UpstreamLog m_upstreamLog;
    /// The last change that this entry's own watch has brought.
    std::uint64_t m_upstreamRevision = 0;
    TimePoint m_upstreamsFollowedAt{};
    std::uint64_t m_statements = 0;
    TimePoint m_refusalAt = TimePoint::max();
    Ticket m_lastTicket = 0;
};

} // namespace tamarack
