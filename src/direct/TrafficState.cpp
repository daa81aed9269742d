#include "direct/TrafficState.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "fleet/FollowerElection.h"
#include "process/Timers.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

namespace tamarack {

namespace {

/// A refused connection within this time of a break shows that the upstream crashed then.
constexpr milliseconds breakWindow{1000};
/// Messages of other entries that come within this time are used together.
constexpr milliseconds peerRefresh{5};
/// A watch of the upstreams returns within 4 s; a follower whose watch does not has lost the store.
constexpr milliseconds oldestFollowed{6000};
/// A follower's own proof is never as old while it reaches the store.
constexpr milliseconds lostProof{1700};
/// An entry that has just started does not hear all others yet.
constexpr std::chrono::seconds settling{2};
/// Crash rows in one message to the other entries.
constexpr std::size_t toldCrashes = 32;

} // namespace

TrafficState::TrafficState(const Settings &processSettings,
                           const boost::asio::any_io_executor &trafficExecutor,
                           Metrics &processMetrics)
    : settings(processSettings)
    , executor(trafficExecutor)
    , metrics(processMetrics)
    , incarnation(randomBits64())
    , freshness(settings.direct.revokeBound, proofMargin)
    , queue(upstreams, settings.dataCentre)
    , quotas(settings.direct.quotaWindow)
    , retries(settings.direct.retries)
    , admission(freshness, crashes, quotas)
    , peers(settings.name)
    , proofs(incarnation)
    , m_refusalTimer(executor)
    , m_peerTimer(executor)
    , m_startedAt(steadyNow())
{}

void TrafficState::applyConfig(ServingConfigPtr newConfig)
{
    if (config && newConfig->version <= config->version)
        return;
    config = std::move(newConfig);
    quotas.configure(*config, steadyNow());
    std::set<std::string> engines;
    for (const Service &service : config->services)
        if (service.engine)
            engines.insert(service.name);
    upstreams.setEngines(engines);
    pump();
}

void TrafficState::applyUpstreams(const std::vector<UpstreamRecord> &records)
{
    upstreams.assign(records);
    pump();
}

void TrafficState::applyPeer(const EntryLoad &load)
{
    const TimePoint now = steadyNow();
    if (!peers.learn(load, now))
        return;
    noticeNews(load);
    quotas.learn(load.incarnation, load.quotas, now);
    for (const ReportedCrash &told : load.crashes)
        crashes.learn(told, now);
    if (std::exchange(m_peersChanged, true))
        return;
    m_peerTimer.expires_after(peerRefresh);
    m_peerTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            usePeers(steadyNow());
    });
}

void TrafficState::noticeNews(const EntryLoad &load)
{
    const std::uint64_t version = config ? config->version : 0;
    const bool newConfig = load.configVersion > std::max(version, m_noticedConfig);
    const bool newUpstreams = load.upstreamRevision > m_noticedUpstreams;
    m_noticedConfig = std::max(m_noticedConfig, load.configVersion);
    m_noticedUpstreams = std::max(m_noticedUpstreams, load.upstreamRevision);
    if (newUpstreams)
        proofs.askNow();
    if ((newConfig || newUpstreams) && onNewsTold)
        onNewsTold(m_noticedConfig, m_noticedUpstreams);
    if (newUpstreams)
        askFollower(steadyNow());
}

void TrafficState::applyUpstreamsFollowed(const UpstreamDelta &delta, UpstreamSource source)
{
    if (source == UpstreamSource::Listing)
        m_upstreamLog.restart(delta.revision);
    else
        m_upstreamLog.append(delta);
    if (source == UpstreamSource::Relay)
        return;
    m_upstreamsFollowedAt = steadyNow();
    if (source != UpstreamSource::Listing && delta.changes.empty())
        return;
    m_upstreamRevision = delta.revision;
    if (m_elected && onLoadChanged)
        onLoadChanged();
}

void TrafficState::followStore(TimePoint now)
{
    std::vector<FleetMember> members = peers.reachableMembers(now);
    members.push_back({settings.name, settings.dataCentre, draining});
    std::vector<std::string> followers = electFollowers(members, settings.dataCentre);
    const bool elected = std::ranges::find(followers, settings.name) != followers.end();
    if (followers != m_followers)
        logEvent(LogLevel::Info, "followers_elected",
                 {{"data_centre", settings.dataCentre},
                  {"followers", fmt::format("{}", fmt::join(followers, ","))},
                  {"own", elected},
                  {"heard", members.size()}});
    m_followers = std::move(followers);
    if (std::exchange(m_elected, elected) != elected && onElected)
        onElected(elected);
    // Whoever has lost the store, or its followers, asks those of all data centres.
    const auto age = freshness.age(bootNow());
    m_asked = age && *age < lostProof ? m_followers : electAllFollowers(members);
    std::erase(m_asked, settings.name);
    askFollower(now);
}

void TrafficState::askFollower(TimePoint now)
{
    const auto age = freshness.age(bootNow());
    const bool provesItself = m_elected && age && *age < lostProof;
    if (provesItself || !onStoreAsk)
        return;
    const std::uint64_t position = m_upstreamLog.position();
    if (const auto due = proofs.ask(m_asked, now, bootNow(), position))
        onStoreAsk(due->first, due->second);
}

std::optional<StoreAnswer> TrafficState::answerProof(const StoreAsk &ask) const
{
    if (!config || draining || steadyNow() - m_upstreamsFollowedAt > oldestFollowed)
        return std::nullopt;
    return ProofRelay::answer(ask, config->version, freshness, m_upstreamLog, bootNow());
}

void TrafficState::learnProof(const StoreAnswer &answer)
{
    if (!proofs.isAsker(answer))
        return;
    if (answer.upstreams && onUpstreamsRelayed)
        onUpstreamsRelayed(*answer.upstreams);
    const auto provedAt = proofs.learn(answer, config ? config->version : 0);
    metrics.add("tamarack_proofs_relayed_total",
                provedAt ? "outcome=\"proved\"" : "outcome=\"not_mine\"");
    if (!provedAt)
        return;
    freshness.prove(*provedAt);
    if (onProofRelayed)
        onProofRelayed(*provedAt);
}

void TrafficState::usePeers(TimePoint now)
{
    m_peersChanged = false;
    upstreams.setOthers(peers.loads(now));
    const auto changed = upstreams.setReports(peers.terms(now));
    if (!changed.empty())
        shareLimits(now);
    for (const auto &[upstream, news] : changed)
        noteTerms(*upstream, news, "entries");
    queue.setPeerDemand(peers.demand(now));
    pump();
}

void TrafficState::applyKnownEntries(const std::set<std::string> &names)
{
    peers.setKnown(names);
}

void TrafficState::enqueue(QueuedRequest request, std::shared_ptr<QueueWait> wait)
{
    m_waits[request.ticket] = std::move(wait);
    queue.push(std::move(request));
    pump();
}

void TrafficState::abandon(Ticket ticket)
{
    const auto found = m_waits.find(ticket);
    if (found == m_waits.end())
        return;
    const auto wait = std::move(found->second);
    m_waits.erase(found);
    queue.remove(ticket);
    wait->abandoned = true;
    wait->signal.cancel();
    pump();
}

void TrafficState::pump()
{
    settle(queue.decide(steadyNow()));
    armRefusals();
    if (onLoadChanged)
        onLoadChanged();
}

void TrafficState::settle(const QueueDecisions &decisions)
{
    const auto take = [this](Ticket ticket) {
        const auto found = m_waits.find(ticket);
        auto wait = std::move(found->second);
        m_waits.erase(found);
        return wait;
    };
    for (const Assignment &assignment : decisions.assignments) {
        const auto wait = take(assignment.ticket);
        wait->assignment = assignment;
        wait->signal.cancel();
    }
    for (const QueueRefusal &refusal : decisions.refusals) {
        const auto wait = take(refusal.ticket);
        wait->refusal = refusal;
        wait->signal.cancel();
    }
}

void TrafficState::armRefusals()
{
    const TimePoint next = queue.nextRefusal();
    if (next == m_refusalAt)
        return;
    m_refusalAt = next;
    if (next == TimePoint::max()) {
        m_refusalTimer.cancel();
        return;
    }
    m_refusalTimer.expires_at(next);
    m_refusalTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_refusalAt = TimePoint::max();
        pump();
    });
}

void TrafficState::hearStatement(UpstreamState &upstream, const UpstreamStatement &statement,
                                 TimePoint sentAt)
{
    if (statement.malformed)
        logEvent(LogLevel::Warning, "upstream_statement_ignored",
                 {{"upstream", upstream.record.id}});
    const TimePoint now = steadyNow();
    const TermsChanges news = upstream.terms.handleStatement(statement, sentAt, now);
    if (!news.any())
        return;
    ++m_statements;
    shareLimits(now);
    noteTerms(upstream, news, "answer");
    pump();
}

void TrafficState::noteTerms(const UpstreamState &upstream, TermsChanges news,
                             std::string_view source)
{
    const UpstreamTerms &terms = upstream.terms;
    if (news.limit) {
        metrics.add("tamarack_upstream_statements_total", "about=\"limit\"");
        logEvent(LogLevel::Info, "upstream_limit",
                 {{"upstream", upstream.record.id},
                  {"limited", terms.isLimited()},
                  {"per_s", terms.limitPerSecond().value_or(0)},
                  {"own_share_per_s", terms.isLimited() ? terms.share() : 0.0},
                  {"source", source},
                  {"recent_sends", terms.recentSends(steadyNow())},
                  {"in_flight", upstream.inFlight()}});
    }
    if (news.closed) {
        metrics.add("tamarack_upstream_statements_total", "about=\"closed\"");
        logEvent(LogLevel::Info, "upstream_closed",
                 {{"upstream", upstream.record.id},
                  {"for_ms", toMs(terms.closedUntil() - steadyNow())},
                  {"in_flight", upstream.inFlight()}});
    }
    if (news.leaving) {
        metrics.add("tamarack_upstream_statements_total", "about=\"leaving\"");
        pool.drop(upstream.key);
        logEvent(LogLevel::Info, "upstream_leaving",
                 {{"upstream", upstream.record.id},
                  {"source", source},
                  {"in_flight", upstream.inFlight()}});
    }
}

void TrafficState::shareLimits(TimePoint now)
{
    std::vector<std::string> serving;
    if (!draining && now - m_startedAt > settling)
        serving.push_back(settings.name);
    for (FleetMember &member : peers.reachableMembers(now))
        if (!member.leaving)
            serving.push_back(std::move(member.name));
    upstreams.shareLimits({settings.name, serving, peers.reachableShare(now)});
}

void TrafficState::attemptBroke(const UpstreamState &upstream, RequestFingerprint fingerprint,
                                TimePoint now)
{
    auto &[firstAt, fingerprints] = m_broken[upstream.key];
    if (now - firstAt > breakWindow) {
        firstAt = now;
        fingerprints.clear();
    }
    fingerprints.push_back(fingerprint);
}

void TrafficState::upstreamUnreachable(const UpstreamState &upstream, TimePoint now)
{
    const auto broken = m_broken.find(upstream.key);
    if (broken == m_broken.end() || now - broken->second.first > breakWindow)
        return;
    for (const RequestFingerprint suspect : broken->second.second) {
        if (!crashes.add({suspect, upstream.key}, now))
            continue;
        logEvent(LogLevel::Warning, "crash_suspect",
                 {{"fingerprint", hex64(suspect)}, {"upstream", upstream.record.id}});
    }
    m_broken.erase(broken);
}

TrafficState::News TrafficState::news() const
{
    return {config ? config->version : 0, m_elected ? m_upstreamRevision : 0, m_statements};
}

EntryLoad TrafficState::ownLoad() const
{
    EntryLoad load;
    load.name = settings.name;
    load.dataCentre = settings.dataCentre;
    load.configVersion = news().configVersion;
    load.upstreamRevision = news().upstreamRevision;
    load.incarnation = incarnation;
    load.loads = upstreams.ownLoads();
    load.demand = queue.demand();
    load.quotas = quotas.uses();
    load.crashes = crashes.rows(toldCrashes, steadyNow());
    load.terms = upstreams.termsReports(steadyNow());
    load.leaving = draining;
    return load;
}

void TrafficState::noteLateness(TimePoint now)
{
    const bool wasBehind = readLag.isBehind();
    readLag.note(now);
    if (readLag.isBehind() != wasBehind)
        logEvent(LogLevel::Warning, readLag.isBehind() ? "traffic_behind" : "traffic_caught_up",
                 {{"late_ms", toMs(readLag.lateness())}, {"waiting", queue.size()}});
}

void TrafficState::tick(TimePoint now)
{
    quotas.setHeardShare(peers.reachableShare(now), now);
    retries.setEntries(peers.reachableCount(now));
    shareLimits(now);
    metrics.set("tamarack_upstreams_limited", "", upstreams.limited());
    metrics.set("tamarack_upstreams_leaving", "", upstreams.leaving());
    metrics.set("tamarack_upstreams_closed", "", upstreams.closed(now));
    crashes.removeExpired(now);
    upstreams.removeGone(now);
    followStore(now);
    pool.dropExpired(now);
    std::erase_if(m_broken,
                  [now](const auto &item) { return now - item.second.first > breakWindow; });
    pump();
}

} // namespace tamarack
