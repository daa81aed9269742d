#include "direct/TrafficState.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "base/Log.h"
#include "fleet/FarQuota.h"
#include "fleet/FollowerElection.h"
#include "process/Timers.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

/// A failure to connect within this time after a broken attempt indicates that the upstream crashed
/// during that attempt.
constexpr milliseconds breakWindow{1000};
/// Reports from other entries received within this time are applied as one batch.
constexpr milliseconds peerRefresh{5};
/// Upper bound on the pause between two upstream watches.
constexpr milliseconds longestWatchPause{1000};
/// A follower that reaches the store always has a proof more recent than this.
constexpr milliseconds storeLostProofAge{1700};
/// Time after start during which an entry may not have received reports from all others yet.
constexpr std::chrono::seconds settlingTime{2};
/// Maximum number of crash rows per message to the other entries.
constexpr std::size_t maxReportedCrashes = 32;

} // namespace

TrafficState::TrafficState(const Settings &processSettings,
                           const boost::asio::any_io_executor &trafficExecutor,
                           Metrics &processMetrics)
    : settings(processSettings)
    , executor(trafficExecutor)
    , metrics(processMetrics)
    , incarnation(randomBits64())
    , freshness(settings.direct.revokeBound, proofMargin)
    , upstreamListAge(settings.direct.drainBound + longestWatchPause)
    , queue(upstreams, settings.dataCentre, settings.direct.scheduling)
    , rollouts(settings.direct.rollouts, upstreams, queue, metrics)
    , quotas(settings.direct.quotaWindow)
    , retries(settings.direct.retries, steadyNow())
    , hedging(settings.direct.hedgeShare)
    , admission(freshness, crashes, partQuarantine, quotas)
    , peers(settings.name)
    , groups(settings.name, settings.direct.groups)
    , proofs(incarnation)
    , origins(executor, incarnation)
    , healthChecker(executor, metrics)
    , restartChecker(executor, metrics)
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
    for (const UpstreamPtr &upstream : upstreams.assign(records))
        logEvent(LogLevel::Info, "upstream_terms_inherited",
                 {{"upstream", upstream->record.id},
                  {"born", upstream->record.born},
                  {"leaving", upstream->terms.isLeaving()},
                  {"limited", upstream->terms.isLimited()},
                  {"closed_ms",
                   std::max<std::int64_t>(0, toMs(upstream->terms.closedUntil() - steadyNow()))}});
    rollouts.upstreamsChanged();
    checkUnconfirmed(steadyNow());
    pump();
}

void TrafficState::applyPeer(const EntryLoad &load)
{
    const TimePoint now = steadyNow();
    if (!peers.handleReport(load, now))
        return;
    checkPeerUpdates(load);
    quotas.applyReport(load.incarnation, load.quotas, now);
    for (const ReportedCrash &told : load.crashes)
        crashes.merge(told, now);
    rollouts.applyReports(load.incarnation, load.rollouts);
    partQuarantine.merge(load.partCrashes, load.partAnswers, load.incarnation, now);
    logPartQuarantines();
    if (std::exchange(m_peersChanged, true))
        return;
    m_peerTimer.expires_after(peerRefresh);
    m_peerTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            applyPeerReports(steadyNow());
    });
}

void TrafficState::checkPeerUpdates(const EntryLoad &load)
{
    const std::uint64_t version = config ? config->version : 0;
    const bool newConfig = load.configVersion > std::max(version, m_reportedConfig);
    const StorePosition reported = latest(m_reportedUpstreams, load.upstreamPosition);
    const bool newUpstreams = reported != m_reportedUpstreams;
    m_reportedConfig = std::max(m_reportedConfig, load.configVersion);
    m_reportedUpstreams = reported;
    if (newUpstreams)
        proofs.requestNow();
    if ((newConfig || newUpstreams) && onPeerUpdate)
        onPeerUpdate(m_reportedConfig, m_reportedUpstreams);
    if (newUpstreams)
        requestProof(steadyNow());
}

void TrafficState::applyUpstreamsFollowed(const UpstreamDelta &delta, UpstreamSource source,
                                          std::optional<BootTime> currentAt)
{
    if (currentAt)
        upstreamListAge.recordConfirmed(*currentAt);
    if (!m_upstreamsListedAt)
        m_upstreamsListedAt = steadyNow();
    if (source == UpstreamSource::Listing)
        m_upstreamLog.restart(delta.position);
    else
        m_upstreamLog.append(delta);
    if (source == UpstreamSource::Relay)
        return;
    m_upstreamsFollowedAt = steadyNow();
    if (source != UpstreamSource::Listing && delta.changes.empty())
        return;
    m_upstreamPosition = delta.position;
    if (m_elected && onLoadChanged)
        onLoadChanged();
}

void TrafficState::updateFollowers(TimePoint now)
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
    // Without a recent proof, the store or this data centre's followers are unreachable: request
    // proofs from the followers of all data centres.
    const auto age = freshness.age(bootNow());
    if (settings.direct.rollouts)
        rollouts.tick({electAllFollowers(members), settings.name, peers.reachableShare(now),
                       elected, draining});
    m_proofSources = age && *age < storeLostProofAge ? m_followers : electAllFollowers(members);
    std::erase(m_proofSources, settings.name);
    requestProof(now);
}

void TrafficState::requestProof(TimePoint now)
{
    const auto age = freshness.age(bootNow());
    const bool provesItself = m_elected && age && *age < storeLostProofAge;
    if (provesItself || !onProofRequest)
        return;
    const auto due = proofs.nextRequest(m_proofSources, now, bootNow(), m_upstreamLog.position());
    if (due)
        onProofRequest(due->first, due->second);
}

std::optional<ProofResponse> TrafficState::makeProofResponse(const ProofRequest &request) const
{
    // A watch returns within the drain bound unless this entry has lost the store.
    const Duration watchAge = steadyNow() - m_upstreamsFollowedAt;
    const bool follows = watchAge <= settings.direct.drainBound + longestWatchPause;
    if (!config || draining || !follows || !upstreamListAge.isCurrent(bootNow()))
        return std::nullopt;
    return ProofRelay::makeResponse(request, config->version, freshness, m_upstreamLog, bootNow());
}

void TrafficState::applyProof(const ProofResponse &response)
{
    if (!proofs.isRequester(response))
        return;
    // The follower has not noticed that the store was restored, or does not state the era.
    if (response.era < m_upstreamLog.position().era) {
        metrics.add("tamarack_proofs_relayed_total", "outcome=\"former_era\"");
        return;
    }
    if (onStoreAnswerRelayed)
        onStoreAnswerRelayed(response.requestedAt - response.age);
    if (response.upstreams && onUpstreamsRelayed)
        onUpstreamsRelayed(*response.upstreams, response.requestedAt);
    const auto provedAt = proofs.proofTime(response, config ? config->version : 0);
    metrics.add("tamarack_proofs_relayed_total",
                provedAt ? "outcome=\"proved\"" : "outcome=\"not_mine\"");
    if (!provedAt)
        return;
    freshness.recordProof(*provedAt);
    if (onProofRelayed)
        onProofRelayed(*provedAt);
}

void TrafficState::applyPeerReports(TimePoint now)
{
    m_peersChanged = false;
    upstreams.setOthers(peers.loads(now));
    if (settings.direct.usesOccupancy)
        upstreams.applyOccupancies(peers.occupancies(now));
    const auto changed = upstreams.setReports(peers.terms(now));
    if (!changed.empty())
        shareLimits(now);
    for (const auto &[upstream, changes] : changed)
        logTermsChanges(*upstream, changes, "entries");
    queue.setPeerDemand(peers.demand(now), now);
    queue.setPeerReturns(peers.returns(now));
    pump();
}

void TrafficState::applyKnownEntries(const std::set<std::string> &names)
{
    peers.setKnown(names);
    const std::pair before(groups.count(), groups.ownGroup());
    groups.assignEntries(names);
    metrics.set("tamarack_exchange_groups", "", groups.count());
    metrics.set("tamarack_exchange_group_entries", "", groups.size());
    if (before == std::pair(groups.count(), groups.ownGroup()))
        return;
    logEvent(LogLevel::Info, "exchange_group",
             {{"group", groups.ownGroup()},
              {"groups", groups.count()},
              {"members", groups.size()},
              {"entries", names.size()}});
    upstreams.setGroups(groups.count(), groups.ownGroup());
    pump();
}

void TrafficState::applyDigest(const GroupDigest &digest)
{
    const TimePoint now = steadyNow();
    const std::size_t applied = peers.handleDigest(digest, now);
    for (const HeardEntry &row : digest.heard)
        quotas.recordAlive(row.incarnation, now - row.age);
    metrics.add("tamarack_peer_digest_rows_total", "outcome=\"applied\"", applied);
    metrics.add("tamarack_peer_digest_rows_total", "outcome=\"unknown\"",
                digest.heard.size() - applied);
}

GroupDigest TrafficState::ownDigest(TimePoint now) const
{
    GroupDigest digest{incarnation, {{incarnation, milliseconds(0)}}};
    const auto members =
        peers.heard([this](const std::string &name) { return groups.isMember(name); }, now);
    const std::size_t kept = std::min(members.size(), mostHeardEntries - 1);
    digest.heard.insert(digest.heard.end(), members.begin(),
                        members.begin() + static_cast<std::ptrdiff_t>(kept));
    return digest;
}

FarReports::Urgent TrafficState::farState() const
{
    const UpdateVersions versions = updateVersions();
    return {m_elected ? versions.configVersion : 0, versions.upstreamPosition, versions.statements,
            m_ownCrashes, draining};
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

void TrafficState::releasePlace(const Assignment &assignment, const std::string &service,
                                QueueRank rank, bool prefilled)
{
    UpstreamState &upstream = *assignment.upstream;
    if (!prefilled)
        upstreams.firstToken(upstream, assignment.freshTokens);
    upstreams.ended(upstream);
    queue.ended(service, rank);
    pump();
}

void TrafficState::pump()
{
    applyDecisions(queue.decide(steadyNow()));
    scheduleRefusals();
    if (onLoadChanged)
        onLoadChanged();
}

void TrafficState::applyDecisions(const QueueDecisions &decisions)
{
    const auto takeWait = [this](Ticket ticket) {
        const auto found = m_waits.find(ticket);
        auto wait = std::move(found->second);
        m_waits.erase(found);
        return wait;
    };
    for (const Assignment &assignment : decisions.assignments) {
        const auto wait = takeWait(assignment.ticket);
        wait->assignment = assignment;
        wait->signal.cancel();
    }
    for (const QueueRefusal &refusal : decisions.refusals) {
        const auto wait = takeWait(refusal.ticket);
        wait->refusal = refusal;
        wait->signal.cancel();
    }
}

void TrafficState::scheduleRefusals()
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

void TrafficState::applyStatement(UpstreamState &upstream, const UpstreamStatement &statement,
                                  TimePoint sentAt)
{
    if (statement.malformed)
        logEvent(LogLevel::Warning, "upstream_statement_ignored",
                 {{"upstream", upstream.record.id}});
    const TimePoint now = steadyNow();
    const TermsChanges changes = upstream.terms.handleStatement(statement, sentAt, now);
    TermsChanges otherChanges;
    const UpstreamPtr other = upstreams.otherIncarnation(upstream);
    if (other)
        otherChanges = other->terms.handleStatementOfIncarnation(statement, sentAt, now);
    if (!changes.any() && !otherChanges.any())
        return;
    ++m_statements;
    shareLimits(now);
    logTermsChanges(upstream, changes, "answer");
    if (other)
        logTermsChanges(*other, otherChanges, "other_incarnation");
    pump();
}

void TrafficState::checkUnconfirmed(TimePoint now)
{
    if (!config)
        return;
    for (const UpstreamPtr &upstream : upstreams.unconfirmed(now))
        healthChecker.check(upstream, *config, now, [this](UpstreamState &checked) {
            checked.terms.confirmServing();
            pump();
        });
}

std::set<std::string> TrafficState::servingNames(TimePoint now) const
{
    std::set<std::string> names;
    for (FleetMember &member : peers.reachableMembers(now))
        if (!member.leaving)
            names.insert(std::move(member.name));
    return names;
}

void TrafficState::shareLimits(TimePoint now)
{
    std::vector<std::string> serving;
    if (!draining && now - m_startedAt > settlingTime)
        serving.push_back(settings.name);
    for (FleetMember &member : peers.reachableMembers(now))
        if (!member.leaving)
            serving.push_back(std::move(member.name));
    const double share = peers.reachableShare(now);
    std::vector<std::string> group = serving;
    std::erase_if(group, [this](const std::string &name) { return !groups.isMember(name); });
    upstreams.shareLimits({settings.name, serving, share}, {settings.name, group, share});
}

void TrafficState::recordBrokenAttempt(const UpstreamPtr &upstream, RequestFingerprint fingerprint,
                                       std::span<const PromptPart> prompt, TimePoint now)
{
    BrokenAttempts &broken = m_brokenAttempts[upstream->key];
    if (now - broken.firstAt > breakWindow) {
        broken = {now, {}, {}};
        healthChecker.checkConnection(upstream, [this](UpstreamState &refusing) {
            upstreamUnreachable(refusing, steadyNow());
        });
    }
    broken.fingerprints.push_back(fingerprint);
    std::uint16_t position = 0;
    for (const PromptPart &part : PartQuarantine::sharedParts(prompt))
        broken.parts.push_back({part.id, upstream->key, position++});
}

StreamOrigin TrafficState::beginStream(StreamKey stream, const UpstreamState &upstream,
                                       bool identified)
{
    const TimePoint now = steadyNow();
    StreamOrigin origin = upstreams.originAt(upstream, stream, now);
    origin.ambiguous = !identified && (origin.ambiguous || !upstreamListAge.isCurrent(bootNow()));
    if (origin.ambiguous)
        logEvent(LogLevel::Warning, "stream_origin_ambiguous",
                 {{"upstream", origin.upstreamId}, {"born", origin.born}});
    origins.record(origin, peers.reachableNames(now), now);
    m_originSaving.add(origin, now);
    metrics.set("tamarack_stream_origins", "", origins.size());
    return origin;
}

void TrafficState::applySavedOrigins(const std::vector<StreamOrigin> &saved, bool own)
{
    const TimePoint now = steadyNow();
    for (const StreamOrigin &origin : saved) {
        origins.handleReport(origin, now);
        if (own)
            m_originSaving.add(origin, now);
    }
}

void TrafficState::applySoleVersions(SoleVersions proved)
{
    m_soleVersions = std::move(proved);
    metrics.set("tamarack_services_of_one_version", "", m_soleVersions.size());
}

SoleVersion TrafficState::soleVersion(const std::string &service) const
{
    const TimePoint now = steadyNow();
    const auto found = m_soleVersions.find(service);
    // An upstream without a version may have any.
    if (found == m_soleVersions.end() || found->second.empty())
        return SoleVersion::inDoubt(VersionDoubt::NotRecorded);
    // An upstream may have begun streams as another version before it was listed with it.
    const TimePoint certainAt = m_upstreamsListedAt.value_or(now) + UpstreamTable::listingDelay;
    if (now < certainAt)
        return SoleVersion::inDoubt(VersionDoubt::ListNew, certainAt - now);
    // The list is confirmed within the drain bound unless the store is out of reach.
    if (!upstreamListAge.isCurrent(bootNow()))
        return SoleVersion::inDoubt(VersionDoubt::ListOld, settings.direct.drainBound);
    if (upstreams.ofService(service).empty())
        return SoleVersion::inDoubt(VersionDoubt::OtherListed);
    if (const UpstreamPtr other = upstreams.ofOtherVersion(service, found->second))
        return SoleVersion::inDoubt(VersionDoubt::OtherListed, Duration::zero(), other->record.id);
    if (const UpstreamPtr unlisted = upstreams.withUnlistedProcess(service, now))
        return SoleVersion::inDoubt(VersionDoubt::UnlistedProcess, unlisted->unlistedUntil - now,
                                    unlisted->record.id);
    SoleVersion sole;
    sole.version = found->second;
    return sole;
}

asio::awaitable<UpstreamPtr> TrafficState::checkRestarts(const std::string &service)
{
    const std::vector<UpstreamPtr> suspects = upstreams.restartSuspects(service, steadyNow());
    if (suspects.empty())
        co_return nullptr;
    co_return co_await restartChecker.check(suspects);
}

void TrafficState::recordAnswer(std::span<const PromptPart> prompt, TimePoint now)
{
    partQuarantine.addAnswer(prompt, now);
    logPartQuarantines();
}

void TrafficState::upstreamUnreachable(UpstreamState &upstream, TimePoint now)
{
    UpstreamTable::recordUnreachable(upstream, now);
    const auto found = m_brokenAttempts.find(upstream.key);
    if (found == m_brokenAttempts.end() || now - found->second.firstAt > breakWindow)
        return;
    const BrokenAttempts broken = std::move(found->second);
    m_brokenAttempts.erase(found);
    metrics.add("tamarack_upstream_crashes_total", "");
    ++m_ownCrashes;
    logEvent(LogLevel::Warning, "upstream_crashed",
             {{"upstream", upstream.record.id},
              {"born", upstream.record.born},
              {"broken_attempts", broken.fingerprints.size()},
              {"parts", broken.parts.size()}});
    for (const RequestFingerprint suspect : broken.fingerprints) {
        if (!crashes.add({suspect, upstream.key}, now))
            continue;
        logEvent(LogLevel::Warning, "crash_suspect",
                 {{"fingerprint", hex64(suspect)}, {"upstream", upstream.record.id}});
    }
    if (broken.parts.empty())
        return;
    partQuarantine.addCrash(broken.parts, broken.firstAt);
    ++m_statements;
    logPartQuarantines();
    pump();
}

void TrafficState::updateTrialOwners(TimePoint now)
{
    if (partQuarantine.quarantinedParts().empty())
        return;
    const std::set<std::string> names = peers.reachableNames(now);
    partQuarantine.setTrialOwner([&](PromptPartId part) {
        const std::uint64_t own = mixBits(part, fnv1a(settings.name));
        return std::ranges::all_of(
            names, [&](const std::string &name) { return mixBits(part, fnv1a(name)) < own; });
    });
}

TrafficState::UpdateVersions TrafficState::updateVersions() const
{
    return {config ? config->version : 0, m_elected ? m_upstreamPosition : StorePosition(),
            m_statements};
}

EntryLoad TrafficState::ownLoad() const
{
    EntryLoad load;
    load.name = settings.name;
    load.dataCentre = settings.dataCentre;
    load.configVersion = updateVersions().configVersion;
    load.upstreamPosition = updateVersions().upstreamPosition;
    load.incarnation = incarnation;
    load.loads = upstreams.ownLoads();
    load.demand = queue.demand(steadyNow());
    load.quotas = quotas.uses();
    load.crashes = crashes.rows(maxReportedCrashes, steadyNow());
    load.partCrashes = partQuarantine.crashes(steadyNow());
    load.partAnswers = partQuarantine.answers(steadyNow());
    load.terms = upstreams.termsReports(steadyNow());
    load.rollouts = rollouts.reports();
    if (settings.direct.usesOccupancy)
        load.occupancies = upstreams.occupancyReports(steadyNow());
    load.returns = queue.returnSlots(steadyNow());
    load.leaving = draining;
    return load;
}

void TrafficState::recordLateness(TimePoint now)
{
    const bool wasBehind = readLag.isBehind();
    readLag.recordCheck(now);
    if (readLag.isBehind() != wasBehind)
        logEvent(LogLevel::Warning, readLag.isBehind() ? "traffic_behind" : "traffic_caught_up",
                 {{"late_ms", toMs(readLag.lateness())}, {"waiting", queue.size()}});
}

void TrafficState::tick(TimePoint now)
{
    upstreamListAge.recordTick(bootNow());
    const double usable = groups.count() > 1 ? farQuotaShare : 1;
    quotas.setReportingShare(peers.reachableShare(now) * usable, now);
    if (peers.isListKnown())
        retries.setEntries(peers.servingCount(now), now);
    shareLimits(now);
    if (settings.direct.usesOccupancy)
        upstreams.rankEntries(settings.name, servingNames(now));
    metrics.set("tamarack_upstreams_limited", "", upstreams.limited());
    metrics.set("tamarack_upstreams_leaving", "", upstreams.leaving());
    metrics.set("tamarack_upstreams_closed", "", upstreams.closed(now));
    crashes.removeExpired(now);
    partQuarantine.removeExpired(now);
    updateTrialOwners(now);
    logPartQuarantines();
    upstreams.removeGone(now);
    checkUnconfirmed(now);
    updateFollowers(now);
    auto dueOrigins = m_originSaving.takeDue(!upstreams.haveVersions(m_soleVersions),
                                             peers.servingCount(now), now);
    if (dueOrigins && onOriginsDue)
        onOriginsDue(std::move(*dueOrigins));
    pool.dropExpired(now);
    std::erase_if(m_brokenAttempts,
                  [now](const auto &item) { return now - item.second.firstAt > breakWindow; });
    pump();
}

} // namespace tamarack
