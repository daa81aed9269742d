#include "gate/GateCore.h"

#include "config/ConfigIntake.h"
#include "gate/ConcurrencyLimit.h"
#include "gate/CreditLedger.h"
#include "gate/DemandTable.h"
#include "gate/GateRequest.h"
#include "gate/PrefillEstimator.h"
#include "sched/QuarantineTable.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <set>
#include <unordered_map>

namespace tamarack {

namespace {

constexpr std::size_t sendWindowBytes = 256 << 10;
constexpr std::size_t chunkBytes = 32 << 10;
constexpr std::size_t readAheadBytes = 1 << 20;
constexpr std::size_t spareCreditsPerEntry = 4;
constexpr double prefillShareOfTarget = 0.6;
/// Prompt length, in tokens, that a spare credit must be able to admit.
constexpr std::uint32_t sparePromptTokens = 128;
constexpr double workPerAnswerByte = 0.5;
constexpr milliseconds reportInterval{2000};
constexpr milliseconds lostEntryRetention{5000};
constexpr milliseconds shortestStall{1000};
constexpr int stallFactor = 4;
constexpr milliseconds unclaimedAnswerRetention{30'000};

} // namespace

struct GateCore::Private
{
    struct Link
    {
        EntryIdentity entry;
        TimePoint lastReceived{};
        EntryHeartbeat heartbeat;
    };

    struct FleetLevels
    {
        ShedLevel wanted = 0;
        ShedLevel closed = 0;
        ShedLevel promised = 0;

        bool operator==(const FleetLevels &) const = default;
    };

    struct LostEntry
    {
        EntryHeartbeat heartbeat;
        TimePoint until{};
    };

    explicit Private(GateOptions gateOptions)
        : options(std::move(gateOptions))
        , demand(options.dataCentre)
        , limit(options.capacity)
        , targets(options.targets)
    {}

    void send(LinkId link, PeerMessage message)
    {
        actions.push_back(gate::Send{link, std::move(message)});
    }

    void broadcast(const PeerMessage &message)
    {
        for (const auto &[id, link] : links)
            send(id, message);
    }

    bool isLeaving() const
    {
        const auto reportsLeaving = [](const auto &row) {
            return row.second.heartbeat.upstreamLeaving;
        };
        return leaving || (config && config->mark(options.name) != Mark::None)
               || std::ranges::any_of(links, reportsLeaving);
    }

    bool grantable() const
    {
        return health == EngineHealth::Up && !isLeaving() && exclusiveRequests == 0 && !stalled;
    }

    int currentLimit() const { return options.adaptiveLimit ? limit.limit() : options.capacity; }

    int available() const
    {
        return currentLimit() - static_cast<int>(inFlight + ledger.openCount());
    }

    Duration firstTokenTarget() const
    {
        return config ? config->preset().tiers.front().firstTokenTarget : milliseconds(420);
    }

    // --- credits ---

    std::uint64_t promisedPromptTokens() const
    {
        std::uint64_t tokens = 0;
        for (const auto &[id, credit] : ledger.open())
            tokens += credit.promptTokens;
        return tokens;
    }

    bool prefillAllows(std::uint32_t promptTokens) const
    {
        if (!options.engine || !options.adaptiveLimit)
            return true;
        const auto promised = promisedPromptTokens();
        if (prefill.outstandingTokens() == 0 && promised == 0)
            return true;
        const auto bound =
            std::chrono::duration_cast<Duration>(firstTokenTarget() * prefillShareOfTarget);
        return prefill.expected(static_cast<std::uint32_t>(promised) + promptTokens) <= bound;
    }

    LinkId linkOf(Incarnation entry) const
    {
        const auto found = linkByEntry.find(entry);
        return found == linkByEntry.end() ? 0 : found->second;
    }

    Credit issue(Incarnation entry, const DemandRow &row, std::uint32_t promptTokens, bool spare,
                 TimePoint now)
    {
        OpenCredit open{entry,         row.target,   row.tier,
                        row.workspace, promptTokens, now + options.creditLife,
                        spare};
        Credit credit;
        credit.id = ledger.issue(std::move(open));
        credit.target = row.target;
        credit.tier = row.tier;
        credit.workspace = row.workspace;
        credit.lifeMs = static_cast<std::uint32_t>(toMs(options.creditLife));
        credit.backlogMs = static_cast<std::uint32_t>(toMs(prefill.expected(0)));
        credit.microsPerPromptToken = static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(prefill.perToken()).count());
        return credit;
    }

    void grant(TimePoint now)
    {
        if (!grantable())
            return;
        std::map<LinkId, Grant> grants;
        bool demandLeft = false;
        while (available() > 0) {
            const auto choice = demand.next(targets);
            if (!choice)
                break;
            const auto prompt = choice->row.promptTokens / choice->row.count;
            demandLeft = !prefillAllows(prompt);
            if (demandLeft)
                break;
            const LinkId link = linkOf(choice->entry);
            grants[link].credits.push_back(issue(choice->entry, choice->row, prompt, false, now));
            demand.markCredited(*choice);
        }
        if (!demandLeft && options.spareCredits)
            grantSpare(grants, now);
        for (auto &[link, message] : grants)
            send(link, std::move(message));
    }

    void grantSpare(std::map<LinkId, Grant> &grants, TimePoint now)
    {
        if (linkByEntry.empty() || targets.empty() || available() <= 0
            || !prefillAllows(sparePromptTokens))
            return;
        std::map<Incarnation, std::size_t> spares;
        for (const auto &[id, credit] : ledger.open())
            spares[credit.entry] += credit.spare;
        const auto share = static_cast<std::size_t>(available()) / (2 * linkByEntry.size());
        const std::size_t quota = std::clamp<std::size_t>(share, 1, spareCreditsPerEntry);
        for (const auto &[entry, link] : linkByEntry) {
            while (spares[entry] < quota && available() > 0) {
                const DemandRow any{targets[spares[entry] % targets.size()], 0, "", 1, 0};
                grants[link].credits.push_back(issue(entry, any, 0, true, now));
                ++spares[entry];
            }
        }
    }

    /// Recalls spare credits once the prefill backlog of the engine reaches its bound. A request
    /// admitted with a spare credit would then wait in the queue of the engine, which does not
    /// order requests by tier.
    void recallSpare()
    {
        if (prefillAllows(sparePromptTokens))
            return;
        std::map<LinkId, RecallCredits> recalls;
        for (const auto &[id, credit] : ledger.open()) {
            if (credit.spare)
                recalls[linkOf(credit.entry)].credits.push_back(id);
        }
        for (auto &[link, message] : recalls) {
            std::ranges::for_each(message.credits, [this](CreditId id) { ledger.revoke(id); });
            send(link, std::move(message));
        }
    }

    // --- dispatch ---

    void refuse(LinkId link, const Dispatch &dispatch, ErrorKind kind, std::uint64_t &counter)
    {
        ++counter;
        ledger.revoke(dispatch.credit);
        send(link, Refused{dispatch.request, dispatch.credit, kind});
    }

    void dispatch(LinkId link, const Link &from, const Dispatch &message, TimePoint now)
    {
        if (const auto known = requests.find(message.request); known != requests.end()) {
            ++counters.duplicateDispatches;
            send(link, Accepted{message.request});
            return;
        }
        if (message.gate != options.incarnation)
            return refuse(link, message, ErrorKind::StaleIncarnation, counters.refusedStale);
        if (isLeaving())
            return refuse(link, message, ErrorKind::Draining, counters.refusedDraining);
        if (health != EngineHealth::Up)
            return refuse(link, message, ErrorKind::UpstreamRefused, counters.refusedEngine);
        const auto suspicion = quarantine.state(message.fingerprint);
        if (suspicion == FingerprintState::Quarantined)
            return refuse(link, message, ErrorKind::Quarantined, counters.refusedQuarantined);
        const bool mustRunAlone = suspicion == FingerprintState::Suspect;
        if ((mustRunAlone && !message.alone) || exclusiveRequests > 0)
            return refuse(link, message, ErrorKind::SuspectHeld, counters.refusedQuarantined);
        if (std::ranges::find(targets, message.target) == targets.end())
            return refuse(link, message, ErrorKind::UpstreamRefused, counters.refusedEngine);
        spendCredit(link, from, message, now);
    }

    void spendCredit(LinkId link, const Link &from, const Dispatch &message, TimePoint now)
    {
        const auto credit =
            ledger.spend(message.credit, from.entry.incarnation, message.request, now);
        if (!credit)
            return refuse(link, message, ErrorKind::CreditExpired, counters.refusedExpired);
        // The entry sent the message no earlier than `heldMs` after it received the credit, and it
        // received the credit after it was issued here.
        const TimePoint issuedAt = credit->expires - options.creditLife;
        const TimePoint earliestSend = issuedAt + milliseconds(message.heldMs);
        const TimePoint deadline = std::min(now, earliestSend) + milliseconds(message.remainingMs);
        if (deadline <= now) {
            ledger.markUnspent(message.credit);
            return refuse(link, message, ErrorKind::DeadlineUnmet, counters.refusedDeadline);
        }
        accept(link, message, deadline, now);
    }

    void accept(LinkId link, const Dispatch &message, TimePoint deadline, TimePoint now)
    {
        GateRequest &request = requests[message.request];
        request.dispatch = message;
        request.deadline = deadline;
        request.lastSubscribedAt = now;
        request.subscribers.push_back({.link = link});
        ++inFlight;
        exclusiveRequests += message.alone;
        demand.charge(message.workspace, 1 + message.promptTokens);
        send(link, Accepted{message.request});
        if (!message.alone || inFlight == 1)
            start(request, now);
        recallSpare();
    }

    void start(GateRequest &request, TimePoint now)
    {
        assert(request.state == GateRequestState::Held);
        request.state = GateRequestState::Running;
        request.startedAt = now;
        request.lastTokenAt = now;
        // The end of the prefill is observable only in a streamed response.
        request.firstByteSeen = !request.dispatch.body.stream;
        if (!request.firstByteSeen)
            prefill.started(request.dispatch.promptTokens);
        request.tokensAhead = prefill.outstandingTokens();
        lastProgress = std::max(lastProgress, now);
        ++counters.started;
        counters.prefillTokens += request.dispatch.promptTokens;
        gate::Start action{request.dispatch.request, request.dispatch.target,
                           std::move(request.dispatch.body), request.deadline - now};
        request.dispatch.body = {};
        actions.emplace_back(std::move(action));
    }

    void startHeld(TimePoint now)
    {
        if (exclusiveRequests == 0 || inFlight != exclusiveRequests)
            return;
        const auto running =
            std::ranges::any_of(requests, [](const auto &row) { return row.second.running(); });
        const auto held = std::ranges::find_if(
            requests, [](const auto &row) { return row.second.state == GateRequestState::Held; });
        if (!running && held != requests.end())
            start(held->second, now);
    }

    // --- answers ---

    void finish(GateRequest &request, bool complete, ErrorKind kind, TimePoint now)
    {
        if (request.done())
            return;
        if (request.running() && !request.firstByteSeen)
            prefill.abandoned(request.dispatch.promptTokens);
        if (request.running() && !complete)
            counters.wastedPrefillTokens += request.dispatch.promptTokens;
        request.state = GateRequestState::Done;
        request.complete = complete;
        request.endKind = kind;
        request.doneAt = now;
        --inFlight;
        if (request.dispatch.alone)
            --exclusiveRequests;
        pump(request);
    }

    void pump(GateRequest &request)
    {
        for (AnswerSubscriber &subscriber : request.subscribers)
            pumpTo(request, subscriber);
    }

    void pumpTo(const GateRequest &request, AnswerSubscriber &subscriber)
    {
        if (request.head && !subscriber.headSent) {
            send(subscriber.link, *request.head);
            subscriber.headSent = true;
        }
        while (subscriber.sent < request.answer.length()
               && subscriber.sent < subscriber.acked + sendWindowBytes) {
            const auto bytes = request.answer.from(subscriber.sent, chunkBytes);
            if (!bytes)
                return;
            send(subscriber.link,
                 AnswerChunk{request.dispatch.request, subscriber.sent, std::string(*bytes)});
            subscriber.sent += bytes->size();
        }
        const bool allSent = subscriber.sent == request.answer.length();
        if (request.done() && allSent && !subscriber.endSent) {
            subscriber.endSent = true;
            send(subscriber.link,
                 AnswerEnd{request.dispatch.request, request.complete, request.answer.length(),
                           request.answer.crc(), request.endKind});
        }
    }

    void acknowledge(LinkId link, const AnswerAck &ack, TimePoint now)
    {
        const auto found = requests.find(ack.request);
        if (found == requests.end())
            return;
        GateRequest &request = found->second;
        const auto subscriber =
            std::ranges::find(request.subscribers, link, &AnswerSubscriber::link);
        if (subscriber == request.subscribers.end())
            return;
        subscriber->acked = std::max(subscriber->acked, std::min(ack.offset, subscriber->sent));
        if (!request.dispatch.keyed)
            trimAcknowledged(request);
        if (ack.final) {
            request.delivered = request.delivered || request.done();
            request.lastSubscribedAt = now;
            request.subscribers.erase(subscriber);
        } else {
            pumpTo(request, *subscriber);
        }
    }

    void trimAcknowledged(GateRequest &request)
    {
        const auto least = std::ranges::min(request.subscribers, {}, &AnswerSubscriber::acked);
        request.answer.trim(least.acked);
    }

    void subscribe(LinkId link, GateRequest &request, std::uint64_t offset, TimePoint now)
    {
        std::erase_if(request.subscribers, [link](const auto &old) { return old.link == link; });
        request.subscribers.push_back({.link = link, .sent = offset, .acked = offset});
        request.lastSubscribedAt = now;
        pumpTo(request, request.subscribers.back());
    }

    void statusQuery(LinkId link, const StatusQuery &query, TimePoint now)
    {
        auto found = requests.find(query.request);
        const bool ofPredecessor = query.gate != options.incarnation;
        if (found == requests.end() && ofPredecessor && options.engine
            && health == EngineHealth::Up) {
            // The engine may still hold the response to a request that an earlier process started.
            adopt({query.request, ""}, now);
            found = requests.find(query.request);
        }
        if (found == requests.end()) {
            send(link, StatusReply{query.request, fateWithoutRecord(query)});
            return;
        }
        GateRequest &request = found->second;
        const bool gone = request.answerDropped || query.offset < request.answer.firstOffset();
        if (gone) {
            send(link, StatusReply{query.request, RequestFate::AnswerGone});
            return;
        }
        const auto fate = request.done() ? RequestFate::Finished : RequestFate::Running;
        send(link, StatusReply{query.request, fate});
        subscribe(link, request, query.offset, now);
    }

    void adopt(const RunningStream &stream, TimePoint now)
    {
        GateRequest &request = requests[stream.request];
        request.dispatch.request = stream.request;
        request.dispatch.target = stream.target;
        request.state = GateRequestState::Running;
        request.startedAt = now;
        request.lastTokenAt = now;
        request.lastSubscribedAt = now;
        request.firstByteSeen = true;
        ++inFlight;
        actions.emplace_back(gate::ResumeStream{stream.request, 0});
    }

    RequestFate fateWithoutRecord(const StatusQuery &query)
    {
        if (query.gate != options.incarnation)
            return RequestFate::Unknown;
        if (ledger.fate(query.credit) == CreditFate::Unknown)
            return RequestFate::Unknown;
        if (ledger.fate(query.credit) == CreditFate::Spent)
            return RequestFate::AnswerGone;
        ledger.revoke(query.credit);
        ++counters.provedNotRun;
        return RequestFate::NotRun;
    }

    void cancel(LinkId link, const Cancel &message, TimePoint now)
    {
        const auto found = requests.find(message.request);
        if (found == requests.end())
            return;
        GateRequest &request = found->second;
        std::erase_if(request.subscribers, [link](const auto &old) { return old.link == link; });
        request.lastSubscribedAt = now;
        const bool mayStop = options.engine && !request.dispatch.keyed && !request.done();
        if (!mayStop || !request.subscribers.empty())
            return;
        abandon(request, now);
    }

    void abandon(GateRequest &request, TimePoint now)
    {
        if (request.running())
            actions.emplace_back(gate::CancelStream{request.dispatch.request});
        finish(request, false, ErrorKind::CallerGone, now);
        request.delivered = true;
    }

    // --- membership and levels ---

    /// Aggregates the levels of all linked entries and of entries whose link was lost less than
    /// `lostEntryRetention` ago, because these may be about to reconnect.
    FleetLevels fleetLevels() const
    {
        FleetLevels levels;
        levels.promised = links.empty() ? 0 : std::numeric_limits<ShedLevel>::max();
        const auto include = [&levels](const auto &row) {
            const EntryHeartbeat &received = row.second.heartbeat;
            levels.wanted = std::max(levels.wanted, received.wantedLevel);
            levels.closed = std::max(levels.closed, received.closedLevel);
            levels.promised = std::min(levels.promised, received.promisedLevel);
        };
        std::ranges::for_each(links, include);
        std::ranges::for_each(lostEntries, include);
        return levels;
    }

    GateHeartbeat heartbeat() const
    {
        GateHeartbeat message;
        message.generation = config ? config->generation : 0;
        message.engineUp = health == EngineHealth::Up;
        message.leaving = isLeaving();
        message.targets = targets;
        message.inFlight = static_cast<std::uint32_t>(inFlight);
        message.limit = static_cast<std::uint32_t>(currentLimit());
        const FleetLevels levels = fleetLevels();
        message.wantedLevel = levels.wanted;
        message.closedLevel = levels.closed;
        message.promisedLevel = levels.promised;
        return message;
    }

    /// The reports of all entries are only for operators, so they are sent less often than
    /// heartbeats, or as soon as the set of linked entries changes.
    void addEntryReports(GateHeartbeat &message, TimePoint now)
    {
        std::set<Incarnation> known;
        for (const auto &[id, link] : links)
            known.insert(link.heartbeat.report.incarnation);
        if (now - lastReports < reportInterval && known == reportedEntries)
            return;
        lastReports = now;
        reportedEntries = std::move(known);
        for (const auto &[id, link] : links)
            message.entries.push_back(link.heartbeat.report);
    }

    void sendHeartbeats(TimePoint now)
    {
        lastHeartbeat = now;
        GateHeartbeat message = heartbeat();
        addEntryReports(message, now);
        broadcast(message);
    }

    void entryHeartbeat(LinkId id, Link &link, const EntryHeartbeat &message, TimePoint now)
    {
        const FleetLevels levelsBefore = fleetLevels();
        link.heartbeat = message;
        lostEntries.erase(link.entry.name);
        if (config && message.report.generation < config->generation)
            send(id, ConfigPush{config->generation, config->text});
        if (fleetLevels() != levelsBefore)
            sendHeartbeats(now);
    }

    void replaceDemand(Incarnation entry, Demand message)
    {
        for (const auto &[id, credit] : ledger.open()) {
            if (credit.entry != entry || credit.spare)
                continue;
            const auto row = std::ranges::find_if(message.rows, [&c = credit](const auto &r) {
                return r.count > 0 && r.tier == c.tier && r.target == c.target
                       && r.workspace == c.workspace;
            });
            if (row == message.rows.end())
                continue;
            row->promptTokens -= row->promptTokens / row->count;
            --row->count;
        }
        demand.replace(entry, message);
    }

    void learnFingerprints(const std::vector<FingerprintReport> &reports)
    {
        const auto added = quarantine.merge(reports);
        if (!added.empty())
            broadcast(FingerprintReports{added});
    }

    // --- configuration ---

    void configChanged(TimePoint now)
    {
        const bool wasLeaving = isLeaving();
        config = intake.current();
        limit.setTarget(config->preset().betweenTokensTarget);
        for (const auto &[name, workspace] : config->workspaces)
            demand.setWeight(name, workspace.weight);
        if (!wasLeaving && isLeaving())
            ledger.revokeAll(0);
        sendHeartbeats(now);
        grant(now);
    }

    void configPushed(const ConfigPush &push, TimePoint now)
    {
        const auto pushed = parseFleetConfig(push.text, push.generation);
        if (pushed && intake.offerFromPeer(*pushed, now))
            configChanged(now);
    }

    // --- engine ---

    void crashed(TimePoint now)
    {
        ++counters.crashes;
        const std::uint64_t crash = (options.incarnation ^ (options.seed << 1)) + ++crashCount;
        std::vector<FingerprintReport> reports;
        Fingerprint alone = 0;
        for (const auto &[id, request] : requests) {
            if (!request.running() || request.adopted())
                continue;
            reports.push_back({request.dispatch.fingerprint, crash, false});
            if (request.dispatch.alone)
                alone = request.dispatch.fingerprint;
        }
        learnFingerprints(reports);
        if (alone != 0)
            learnFingerprints(quarantine.clearingReportsForOthers(alone));
        for (auto &[id, request] : requests) {
            if (request.running())
                finish(request, false, ErrorKind::UpstreamFailed, now);
        }
    }

    void resumeBroken()
    {
        for (auto &[id, request] : requests) {
            if (!request.running() || !std::exchange(request.broken, false))
                continue;
            actions.emplace_back(gate::ResumeStream{id, request.answer.length()});
        }
    }

    void updateStall(TimePoint now)
    {
        const auto waiting = prefill.expected(0) * stallFactor;
        const auto bound = std::max<Duration>(shortestStall, waiting);
        const bool stuck = options.engine && inFlight > 0 && now - lastProgress > bound;
        if (stuck && !stalled)
            limit.recordStall();
        stalled = stuck;
    }

    void dropOld(TimePoint now)
    {
        for (auto &[id, request] : requests) {
            const bool orphan = request.subscribers.empty() && !request.dispatch.keyed
                                && now - request.lastSubscribedAt > unclaimedAnswerRetention;
            if (orphan && options.engine && request.running())
                abandon(request, now);
            if (request.done() && now - request.lastSubscribedAt > unclaimedAnswerRetention)
                request.delivered = request.delivered || request.subscribers.empty();
            if (request.state == GateRequestState::Held && request.deadline <= now)
                refuseHeld(request, now);
        }
        std::erase_if(requests,
                      [this, now](const auto &row) { return canDeleteRecord(row.second, now); });
        dropBytesOverBound();
    }

    void refuseHeld(GateRequest &request, TimePoint now)
    {
        ledger.markUnspent(request.dispatch.credit);
        ++counters.refusedDeadline;
        for (const auto &subscriber : request.subscribers)
            send(subscriber.link, Refused{request.dispatch.request, request.dispatch.credit,
                                          ErrorKind::DeadlineUnmet});
        request.subscribers.clear();
        finish(request, false, ErrorKind::DeadlineUnmet, now);
        request.delivered = true;
        request.dispatch.keyed = false;
    }

    /// Whether the record of the request may be deleted. The ledger still records that its credit
    /// was spent.
    bool canDeleteRecord(const GateRequest &request, TimePoint now) const
    {
        if (!request.done())
            return false;
        if (request.dispatch.keyed)
            return now - request.doneAt > options.keyRetention;
        return request.delivered || now - request.doneAt > unclaimedAnswerRetention;
    }

    std::size_t keptBytes() const
    {
        std::size_t bytes = 0;
        for (const auto &[id, request] : requests)
            bytes += request.answer.heldBytes();
        return bytes;
    }

    void dropBytesOverBound()
    {
        std::size_t bytes = keptBytes();
        while (bytes > options.keptAnswerBytes) {
            GateRequest *oldest = nullptr;
            for (auto &[id, request] : requests) {
                const bool droppable =
                    request.done() && request.subscribers.empty() && request.answer.heldBytes() > 0;
                if (droppable && (!oldest || request.doneAt < oldest->doneAt))
                    oldest = &request;
            }
            if (!oldest)
                return;
            bytes -= oldest->answer.heldBytes();
            oldest->answer.trim(oldest->answer.length());
            oldest->answerDropped = true;
        }
    }

    GateOptions options;
    DemandTable demand;
    ConcurrencyLimit limit;
    PrefillEstimator prefill;
    CreditLedger ledger;
    QuarantineTable quarantine;
    std::vector<std::string> targets;
    std::map<LinkId, Link> links;
    std::map<std::string, LostEntry> lostEntries;
    std::map<Incarnation, LinkId> linkByEntry;
    std::unordered_map<RequestId, GateRequest> requests;
    std::vector<GateAction> actions;
    ConfigIntake intake;
    /// The current configuration; null until the first one is applied.
    FleetConfigPtr config;
    GateCounters counters;
    std::size_t inFlight = 0;
    std::size_t exclusiveRequests = 0;
    EngineHealth health = EngineHealth::Down;
    std::uint64_t boot = 0;
    std::uint64_t crashCount = 0;
    bool leaving = false;
    bool stalled = false;
    TimePoint lastProgress{};
    TimePoint lastHeartbeat{};
    TimePoint lastReports{};
    /// Entries included in the last reports sent.
    std::set<Incarnation> reportedEntries;
};

GateCore::GateCore(GateOptions options)
    : m_private(std::make_unique<Private>(std::move(options)))
{}

GateCore::~GateCore() = default;

void GateCore::linkUp(LinkId link, const EntryIdentity &entry, TimePoint now)
{
    auto &p = *m_private;
    if (const LinkId old = p.linkOf(entry.incarnation); old != 0) {
        linkDown(old, now);
        p.actions.emplace_back(gate::CloseLink{old});
    }
    p.links[link] = {entry, now, {}};
    p.linkByEntry[entry.incarnation] = link;
    p.demand.addEntry(entry.incarnation, entry.dataCentre);
    if (const auto rows = p.quarantine.rows(); !rows.empty())
        p.send(link, FingerprintReports{rows});
    p.send(link, p.heartbeat());
    p.grant(now);
}

void GateCore::linkDown(LinkId link, TimePoint now)
{
    auto &p = *m_private;
    const auto found = p.links.find(link);
    if (found == p.links.end())
        return;
    const Incarnation entry = found->second.entry.incarnation;
    p.lostEntries[found->second.entry.name] = {found->second.heartbeat, now + lostEntryRetention};
    p.ledger.revokeAll(entry);
    p.demand.removeEntry(entry);
    p.linkByEntry.erase(entry);
    p.links.erase(found);
    for (auto &[id, request] : p.requests) {
        const auto lost = std::erase_if(request.subscribers,
                                        [link](const auto &row) { return row.link == link; });
        if (lost > 0)
            request.lastSubscribedAt = now;
    }
    p.grant(now);
}

void GateCore::receive(LinkId link, const PeerMessage &message, TimePoint now)
{
    auto &p = *m_private;
    const auto found = p.links.find(link);
    if (found == p.links.end())
        return;
    Private::Link &from = found->second;
    from.lastReceived = now;
    if (const auto *dispatch = std::get_if<Dispatch>(&message))
        p.dispatch(link, from, *dispatch, now);
    else if (const auto *ack = std::get_if<AnswerAck>(&message))
        p.acknowledge(link, *ack, now);
    else if (const auto *demand = std::get_if<Demand>(&message))
        p.replaceDemand(from.entry.incarnation, *demand);
    else if (const auto *returned = std::get_if<ReturnCredits>(&message))
        std::ranges::for_each(returned->credits, [&p](CreditId id) { p.ledger.revoke(id); });
    else if (const auto *heartbeat = std::get_if<EntryHeartbeat>(&message))
        p.entryHeartbeat(link, from, *heartbeat, now);
    else if (const auto *query = std::get_if<StatusQuery>(&message))
        p.statusQuery(link, *query, now);
    else if (const auto *cancel = std::get_if<Cancel>(&message))
        p.cancel(link, *cancel, now);
    else if (const auto *reports = std::get_if<FingerprintReports>(&message))
        p.learnFingerprints(reports->reports);
    else if (const auto *push = std::get_if<ConfigPush>(&message))
        p.configPushed(*push, now);
    p.grant(now);
}

void GateCore::engineHealth(EngineHealth health, std::uint64_t boot, TimePoint now)
{
    auto &p = *m_private;
    const bool restarted = health == EngineHealth::Up && p.boot != 0 && boot != p.boot;
    const bool wasDown = p.health == EngineHealth::Down;
    if (restarted || (health == EngineHealth::Down && !wasDown))
        p.crashed(now);
    if (health == EngineHealth::Up)
        p.boot = boot;
    const bool changed = health != p.health;
    p.health = health;
    if (health == EngineHealth::Up)
        p.resumeBroken();
    if (changed)
        p.sendHeartbeats(now);
    p.grant(now);
}

void GateCore::adopt(const RunningStream &stream, TimePoint now)
{
    m_private->adopt(stream, now);
}

void GateCore::answerHead(RequestId request, std::uint16_t status, std::string_view contentType,
                          TimePoint)
{
    auto &p = *m_private;
    const auto found = p.requests.find(request);
    if (found == p.requests.end() || found->second.done() || found->second.head)
        return;
    found->second.head = AnswerHead{request, status, std::string(contentType)};
    p.pump(found->second);
}

void GateCore::answerBytes(RequestId request, std::string_view bytes, int tokens, TimePoint now)
{
    auto &p = *m_private;
    const auto found = p.requests.find(request);
    if (found == p.requests.end() || found->second.done())
        return;
    GateRequest &record = found->second;
    p.lastProgress = now;
    if (tokens > 0 && !record.firstByteSeen) {
        record.firstByteSeen = true;
        p.prefill.firstToken(record.dispatch.promptTokens, record.tokensAhead,
                             now - record.startedAt);
    } else if (tokens > 0) {
        p.limit.recordGap((now - record.lastTokenAt) / tokens, now);
    }
    if (tokens > 0)
        record.lastTokenAt = now;
    p.demand.charge(record.dispatch.workspace,
                    workPerAnswerByte * static_cast<double>(bytes.size()));
    record.answer.append(bytes);
    p.pump(record);
}

void GateCore::answerEnd(RequestId request, bool complete, TimePoint now)
{
    auto &p = *m_private;
    const auto found = p.requests.find(request);
    if (found == p.requests.end() || found->second.done())
        return;
    const Fingerprint fingerprint = found->second.dispatch.fingerprint;
    const bool clearsSuspicion = complete && found->second.dispatch.alone;
    p.lastProgress = now;
    p.finish(found->second, complete, ErrorKind::UpstreamFailed, now);
    if (clearsSuspicion)
        p.learnFingerprints(p.quarantine.clearingReports(fingerprint));
    p.startHeld(now);
    p.grant(now);
}

void GateCore::engineRefused(RequestId request, TimePoint now)
{
    auto &p = *m_private;
    const auto found = p.requests.find(request);
    if (found == p.requests.end() || found->second.done())
        return;
    ++p.counters.refusedEngine;
    p.finish(found->second, false, ErrorKind::UpstreamRefused, now);
    p.startHeld(now);
    p.grant(now);
}

void GateCore::startFailed(RequestId request, TimePoint now)
{
    auto &p = *m_private;
    const auto found = p.requests.find(request);
    if (found == p.requests.end() || found->second.done())
        return;
    GateRequest &record = found->second;
    for (const auto &subscriber : record.subscribers)
        p.send(subscriber.link,
               Refused{request, record.dispatch.credit, ErrorKind::UpstreamRefused});
    record.subscribers.clear();
    p.counters.wastedPrefillTokens -= record.dispatch.promptTokens;
    p.counters.prefillTokens -= record.dispatch.promptTokens;
    ++p.counters.refusedEngine;
    p.finish(record, false, ErrorKind::UpstreamRefused, now);
    p.ledger.markUnspent(record.dispatch.credit);
    p.requests.erase(found);
    p.startHeld(now);
    p.grant(now);
}

void GateCore::streamBroken(RequestId request, TimePoint now)
{
    auto &p = *m_private;
    const auto found = p.requests.find(request);
    if (found == p.requests.end() || !found->second.running())
        return;
    if (!p.options.engine)
        return answerEnd(request, false, now);
    found->second.broken = true;
    if (p.health == EngineHealth::Up)
        p.resumeBroken();
}

bool GateCore::applyConfig(const FleetConfigPtr &config, TimePoint now)
{
    const bool newer = m_private->intake.offerStored(config);
    if (newer)
        m_private->configChanged(now);
    return newer;
}

void GateCore::setLeaving(bool leaving, TimePoint now)
{
    auto &p = *m_private;
    if (p.leaving == leaving)
        return;
    p.leaving = leaving;
    if (leaving)
        p.ledger.revokeAll(0);
    p.sendHeartbeats(now);
    p.grant(now);
}

void GateCore::setTargets(std::vector<std::string> targets)
{
    m_private->targets = std::move(targets);
}

void GateCore::tick(TimePoint now)
{
    auto &p = *m_private;
    if (p.intake.tick(now))
        p.configChanged(now);
    p.ledger.expire(now);
    std::vector<LinkId> timedOut;
    for (const auto &[id, link] : p.links) {
        if (now - link.lastReceived > p.options.silence)
            timedOut.push_back(id);
    }
    for (const LinkId id : timedOut) {
        linkDown(id, now);
        p.actions.emplace_back(gate::CloseLink{id});
    }
    std::erase_if(p.lostEntries, [now](const auto &row) { return row.second.until <= now; });
    p.limit.evaluate(static_cast<int>(p.inFlight), now);
    p.updateStall(now);
    p.dropOld(now);
    p.startHeld(now);
    if (now - p.lastHeartbeat >= p.options.heartbeat)
        p.sendHeartbeats(now);
    p.grant(now);
}

std::vector<GateAction> GateCore::takeActions()
{
    return std::exchange(m_private->actions, {});
}

bool GateCore::shouldPauseReading(RequestId request) const
{
    const auto found = m_private->requests.find(request);
    return found != m_private->requests.end() && !found->second.dispatch.keyed
           && found->second.answer.heldBytes() > readAheadBytes;
}

bool GateCore::idle() const
{
    const auto &p = *m_private;
    const auto undelivered = [](const auto &row) {
        return !row.second.done() || !row.second.delivered;
    };
    return std::ranges::none_of(p.requests, undelivered);
}

GateStatus GateCore::status() const
{
    const auto &p = *m_private;
    GateStatus status;
    status.inFlight = p.inFlight;
    status.openCredits = p.ledger.openCount();
    status.keptBytes = p.keptBytes();
    status.limit = p.currentLimit();
    status.engineUp = p.health == EngineHealth::Up;
    status.leaving = p.isLeaving();
    status.generation = p.config ? p.config->generation : 0;
    for (const auto &[id, link] : p.links)
        status.entries.push_back(link.heartbeat.report);
    return status;
}

const GateCounters &GateCore::counters() const
{
    return m_private->counters;
}

const FleetConfigPtr &GateCore::config() const
{
    return m_private->config;
}

} // namespace tamarack
