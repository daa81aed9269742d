#include "sched/EntryCore.h"

#include "base/Hash.h"
#include "config/ConfigIntake.h"
#include "sched/AffinityMap.h"
#include "sched/EntryRequest.h"
#include "sched/ShedControl.h"
#include "sched/WaitingQueue.h"

#include <algorithm>
#include <unordered_map>

namespace tamarack {

namespace {

constexpr std::size_t rememberedPrefixes = 20'000;
constexpr milliseconds ageingBound{2000};
/// How long idempotent requests run without claims after a claim timed out.
constexpr milliseconds unclaimedPeriod{1000};
constexpr milliseconds acceptTimeout{1000};
constexpr milliseconds responseTimeout{5000};
constexpr milliseconds demandInterval{2};
/// An engine suits a prompt if its expected time to first token is within this share of the target.
constexpr double suitedShareOfTarget = 0.7;
/// After waiting for this share of the first-token target, a request accepts any engine.
constexpr double anyEngineShareOfTarget = 0.4;
/// How long a request remains queued while no upstream of its target is usable.
constexpr milliseconds noUpstreamBound{3000};
constexpr int validityShareOfSilence = 2;
/// Share of a credit's lifetime during which the entry uses it.
constexpr double usableShareOfLife = 0.8;

} // namespace

struct EntryCore::Private
{
    struct Gate
    {
        GateIdentity identity;
        GateLinkId link = 0;
        GateHeartbeat heartbeat;
        bool heartbeatReceived = false;
        TimePoint lastReceived{};
        bool demandSent = false;
    };

    explicit Private(EntryOptions entryOptions)
        : options(std::move(entryOptions))
        , shed(options.silence / validityShareOfSilence)
        , affinity(rememberedPrefixes)
    {}

    void send(GateLinkId link, PeerMessage message)
    {
        actions.push_back(entry::Send{link, std::move(message)});
    }

    Gate *gateByLink(GateLinkId link)
    {
        const auto found = gateByLinkId.find(link);
        return found == gateByLinkId.end() ? nullptr : &gates.at(found->second);
    }

    Gate *gateByName(std::string_view name)
    {
        const auto found = std::ranges::find_if(
            gates, [name](const auto &row) { return row.second.identity.name == name; });
        return found == gates.end() ? nullptr : &found->second;
    }

    /// Whether new requests may be sent to the gate, by its heartbeat, mark and host list state.
    bool usable(const Gate &gate) const
    {
        const auto &name = gate.identity.name;
        return gate.heartbeatReceived && gate.heartbeat.engineUp && !gate.heartbeat.leaving
               && (!config || config->mark(name) == Mark::None)
               && std::ranges::find(leavingHosts, name) == leavingHosts.end();
    }

    bool serves(const Gate &gate, std::string_view target) const
    {
        const auto &targets = gate.heartbeat.targets;
        return std::ranges::find(targets, target) != targets.end();
    }

    // --- request completion ---

    void fail(RequestId id, ErrorKind kind)
    {
        ++counters.refusals[kind];
        actions.push_back(entry::Fail{id, kind});
        removeRequest(id);
    }

    void removeRequest(RequestId id)
    {
        const auto found = requests.find(id);
        if (found == requests.end())
            return;
        const RequestId answer = found->second.answerOf;
        queue.remove(id);
        std::erase(suspects, id);
        requests.erase(found);
        std::erase_if(consumers, [id](const auto &row) { return row.second == id; });
        demandChanged = true;
        if (!consumers.contains(answer))
            endpoints.erase(answer);
    }

    // --- queueing ---

    TimePoint orderOf(const EntryRequest &request) const
    {
        switch (options.order) {
        case QueueOrder::Arrival:
            return request.arrivedAt;
        case QueueOrder::Deadline:
            return request.deadline;
        case QueueOrder::ShortestWork:
            break;
        }
        const Duration work = std::min<Duration>(request.submission.expectedWork, ageingBound);
        return request.arrivedAt + work;
    }

    void enqueue(RequestId id, EntryRequest &request)
    {
        request.state = EntryRequestState::Waiting;
        request.answerOf = id;
        demandChanged = true;
        if (request.alone) {
            suspects.push_back(id);
            return;
        }
        const Submission &submission = request.submission;
        queue.push({id, submission.target, submission.tier, submission.workspace, orderOf(request),
                    submission.promptTokens, submission.prefix});
    }

    void dequeue(RequestId id)
    {
        queue.remove(id);
        std::erase(suspects, id);
        demandChanged = true;
    }

    std::size_t healthyGates(std::string_view target) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(gates, [&](const auto &row) {
            return usable(row.second) && serves(row.second, target);
        }));
    }

    /// The only gate where a suspect request may run. Rendezvous hashing makes all entries with the
    /// same set of gates choose the same one, so that a suspect is not tried at several upstreams.
    Incarnation trialGate(Fingerprint fingerprint, std::string_view target) const
    {
        Incarnation best = 0;
        std::uint64_t bestWeight = 0;
        for (const auto &[incarnation, gate] : gates) {
            if (!usable(gate) || !serves(gate, target))
                continue;
            const auto weight = fnv1a(gate.identity.name + hex64(fingerprint));
            if (best == 0 || weight > bestWeight) {
                best = incarnation;
                bestWeight = weight;
            }
        }
        return best;
    }

    // --- credits ---

    void useCredit(HeldCredit held, TimePoint now)
    {
        const Gate &gate = gates.at(held.gate);
        if (!usable(gate))
            return returnCredit(held);
        if (const auto suspect = suspectFor(held))
            return spend(*suspect, std::move(held), now);
        const Credit &credit = held.credit;
        const auto id =
            queue.best(credit.target, credit.tier, credit.workspace,
                       [&](const WaitingRequest &waiting) { return match(waiting, held, now); });
        if (id)
            return spend(*id, std::move(held), now);
        if (credit.workspace.empty())
            pool[credit.target].push_back(std::move(held));
        else
            returnCredit(held);
    }

    /// Expected time to first token if the prompt were sent now with this credit.
    static Duration expectedFirstToken(std::uint32_t promptTokens, const Credit &credit)
    {
        return milliseconds(credit.backlogMs)
               + promptTokens * std::chrono::microseconds(credit.microsPerPromptToken);
    }

    Duration firstTokenTarget(TierRank tier) const
    {
        return config->preset().tiers[tier].firstTokenTarget;
    }

    bool isExpectedInTime(TierRank tier, std::uint32_t promptTokens, const Credit &credit) const
    {
        return expectedFirstToken(promptTokens, credit)
               <= firstTokenTarget(tier) * suitedShareOfTarget;
    }

    /// Whether the prompt's prefix is likely to be cached at the upstream.
    bool isCached(std::uint64_t prefix, std::string_view upstream) const
    {
        return options.affinity && prefix != 0 && affinity.matches(prefix, upstream);
    }

    /// Rejects an engine that would miss the first-token target, until the request has waited long
    /// enough to accept any engine.
    bool suits(TierRank tier, std::uint32_t promptTokens, Duration waited,
               const Credit &credit) const
    {
        return !options.firstTokenFit || isExpectedInTime(tier, promptTokens, credit)
               || waited >= firstTokenTarget(tier) * anyEngineShareOfTarget;
    }

    WaitingQueue::Match match(const WaitingRequest &waiting, const HeldCredit &held,
                              TimePoint now) const
    {
        using Match = WaitingQueue::Match;
        const Duration waited = now - requests.at(waiting.id).arrivedAt;
        if (!suits(waiting.tier, waiting.promptTokens, waited, held.credit))
            return Match::Unsuitable;
        return isCached(waiting.prefix, held.gateName) ? Match::Preferred : Match::Suitable;
    }

    std::optional<RequestId> suspectFor(const HeldCredit &held) const
    {
        const auto found = std::ranges::find_if(suspects, [this, &held](RequestId id) {
            const Submission &submission = requests.at(id).submission;
            return submission.target == held.credit.target
                   && trialGate(submission.fingerprint, submission.target) == held.gate;
        });
        if (found == suspects.end())
            return std::nullopt;
        return *found;
    }

    void returnCredit(const HeldCredit &held)
    {
        const auto gate = gates.find(held.gate);
        if (gate == gates.end() || gate->second.link == 0)
            return;
        ++counters.creditsReturned;
        returns[gate->second.link].credits.push_back(held.credit.id);
    }

    void spend(RequestId id, HeldCredit held, TimePoint now)
    {
        dequeue(id);
        EntryRequest &request = requests.at(id);
        request.credit = std::move(held);
        const bool mayRunUnclaimed = request.submission.idempotent && now < unclaimedUntil;
        if (request.submission.key.empty() || mayRunUnclaimed) {
            counters.unclaimedIdempotent += mayRunUnclaimed;
            return dispatch(id, request, now);
        }
        request.state = EntryRequestState::Claiming;
        request.claim = options.incarnation ^ (++claimSequence << 20);
        actions.push_back(entry::Claim{id, claimRecord(id, request)});
    }

    static ClaimRecord claimRecord(RequestId id, const EntryRequest &request)
    {
        ClaimRecord record;
        record.workspace = request.submission.workspace;
        record.key = request.submission.key;
        record.digest = request.submission.fingerprint;
        record.request = id;
        record.gateName = request.credit.gateName;
        record.gate = request.credit.gate;
        record.credit = request.credit.credit.id;
        record.token = request.claim;
        record.supersedes = request.supersedes;
        return record;
    }

    void dispatch(RequestId id, EntryRequest &request, TimePoint now)
    {
        const auto gate = gates.find(request.credit.gate);
        if (gate == gates.end() || gate->second.link == 0)
            return requeue(id, request, ErrorKind::StaleIncarnation);
        request.state = EntryRequestState::Sent;
        request.answerOf = id;
        request.lastReceivedAt = now;
        consumers.emplace(id, id);
        endpoints[id] = {request.credit.gate, request.credit.gateName, request.credit.credit.id};
        affinity.record(request.submission.prefix, gate->second.identity.name);
        ++counters.dispatched;
        send(gate->second.link, dispatchMessage(id, request, now));
    }

    static Dispatch dispatchMessage(RequestId id, const EntryRequest &request, TimePoint now)
    {
        const Submission &submission = request.submission;
        Dispatch message;
        message.request = id;
        message.credit = request.credit.credit.id;
        message.gate = request.credit.gate;
        message.target = submission.target;
        message.tier = submission.tier;
        message.workspace = submission.workspace;
        message.fingerprint = submission.fingerprint;
        message.remainingMs =
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMs(request.deadline - now)));
        message.heldMs = static_cast<std::uint32_t>(toMs(now - request.credit.receivedAt));
        message.promptTokens = submission.promptTokens;
        message.alone = request.alone;
        message.keyed = !submission.key.empty();
        message.body = submission.body;
        return message;
    }

    /// Queues the request for another credit; it is proved not to have run under the current one.
    void requeue(RequestId id, EntryRequest &request, ErrorKind reason)
    {
        ++counters.retries[reason];
        request.supersedes = request.claim;
        std::erase_if(consumers, [id](const auto &row) { return row.second == id; });
        endpoints.erase(id);
        request.received = 0;
        request.crc = 0;
        queueOrRefuse(id, request);
    }

    void admit(RequestId id, EntryRequest &request, TimePoint now)
    {
        queueOrRefuse(id, request);
        if (queue.contains(id))
            usePool(id, request, now);
        updateShedding(now);
    }

    /// Admits the requests held since start-up. A new entry admits none before the first gate
    /// heartbeat, which reports the tiers that the fleet has closed.
    void admitHeld(TimePoint now)
    {
        gateHeartbeatReceived = true;
        for (const RequestId id : std::exchange(heldAtStart, {})) {
            const auto found = requests.find(id);
            if (found != requests.end())
                admit(id, found->second, now);
        }
    }

    /// Queues the request, or refuses it if its tier is now closed or its fingerprint is
    /// quarantined, or is suspect with no second healthy upstream to fall back on.
    void queueOrRefuse(RequestId id, EntryRequest &request)
    {
        const Submission &submission = request.submission;
        if (shed.isClosed(submission.tier))
            return fail(id, ErrorKind::Overloaded);
        const auto state = quarantineTable.state(submission.fingerprint);
        if (state == FingerprintState::Quarantined)
            return fail(id, ErrorKind::Quarantined);
        request.alone = state == FingerprintState::Suspect;
        if (request.alone && healthyGates(submission.target) <= 1)
            return fail(id, ErrorKind::SuspectHeld);
        enqueue(id, request);
    }

    bool usePool(RequestId id, const EntryRequest &request, TimePoint now)
    {
        const auto found = pool.find(request.submission.target);
        if (found == pool.end())
            return false;
        auto &credits = found->second;
        std::erase_if(credits, [this, now](const HeldCredit &held) {
            const auto gate = gates.find(held.gate);
            return held.expires <= now || gate == gates.end() || !usable(gate->second);
        });
        if (credits.empty())
            return false;
        const Submission &submission = request.submission;
        const auto rank = [this, &submission](const HeldCredit &held) {
            const bool cached = isCached(submission.prefix, held.gateName);
            const Duration expected = expectedFirstToken(submission.promptTokens, held.credit);
            const bool late =
                !isExpectedInTime(submission.tier, submission.promptTokens, held.credit);
            const bool remote = gates.at(held.gate).identity.dataCentre != options.dataCentre;
            return std::tuple(late, !cached, expected, remote, held.expires);
        };
        const auto best = std::ranges::min_element(credits, {}, rank);
        if (!suits(submission.tier, submission.promptTokens, now - request.arrivedAt, best->credit))
            return false;
        HeldCredit held = std::move(*best);
        credits.erase(best);
        spend(id, std::move(held), now);
        return true;
    }

    // --- responses ---

    std::vector<RequestId> consumersOf(RequestId answer) const
    {
        std::vector<RequestId> ids;
        const auto [first, last] = consumers.equal_range(answer);
        std::transform(first, last, std::back_inserter(ids),
                       [](const auto &row) { return row.second; });
        return ids;
    }

    void head(const AnswerHead &message, TimePoint now)
    {
        for (const RequestId id : consumersOf(message.request)) {
            EntryRequest &request = requests.at(id);
            request.lastReceivedAt = now;
            if (request.headReceived)
                continue;
            request.headReceived = true;
            request.state = EntryRequestState::Answering;
            actions.push_back(entry::Head{id, message.status, message.contentType});
        }
    }

    void chunk(const AnswerChunk &message, TimePoint now)
    {
        const std::uint64_t end = message.offset + message.bytes.size();
        for (const RequestId id : consumersOf(message.request)) {
            EntryRequest &request = requests.at(id);
            request.lastReceivedAt = now;
            if (message.offset > request.received || end <= request.received)
                continue;
            std::string fresh = message.bytes.substr(request.received - message.offset);
            request.crc = crc32c(request.crc, fresh);
            request.received = end;
            request.state = EntryRequestState::Answering;
            actions.push_back(entry::Bytes{id, std::move(fresh)});
        }
    }

    void end(GateLinkId link, const AnswerEnd &message, TimePoint now)
    {
        for (const RequestId id : consumersOf(message.request)) {
            EntryRequest &request = requests.at(id);
            request.lastReceivedAt = now;
            const bool whole = request.received == message.length && request.crc == message.crc;
            if (message.complete && !whole) {
                // Bytes were lost on this link: resume from the offset received so far.
                ++counters.resumed;
                send(link, statusQuery(request));
                continue;
            }
            finish(link, id, request, message);
        }
    }

    void finish(GateLinkId link, RequestId id, const EntryRequest &request,
                const AnswerEnd &message)
    {
        const RequestId answer = request.answerOf;
        const auto offset = request.received;
        if (message.complete) {
            ++counters.finished;
            actions.push_back(entry::Finish{id});
            removeRequest(id);
        } else {
            fail(id, message.kind);
        }
        if (!consumers.contains(answer))
            send(link, AnswerAck{answer, offset, true});
    }

    StatusQuery statusQuery(const EntryRequest &request) const
    {
        const auto endpoint = endpoints.find(request.answerOf);
        StatusQuery query;
        query.request = request.answerOf;
        query.credit = endpoint == endpoints.end() ? 0 : endpoint->second.credit;
        query.gate = endpoint == endpoints.end() ? 0 : endpoint->second.gate;
        query.offset = request.received;
        return query;
    }

    void statusReply(const StatusReply &message, TimePoint now)
    {
        for (const RequestId id : consumersOf(message.request)) {
            EntryRequest &request = requests.at(id);
            request.lastReceivedAt = now;
            settle(id, request, message.fate);
        }
    }

    void settle(RequestId id, EntryRequest &request, RequestFate fate)
    {
        switch (fate) {
        case RequestFate::Running:
        case RequestFate::Finished:
            request.state = EntryRequestState::Answering;
            return;
        case RequestFate::NotRun:
            if (request.received == 0)
                return settleNotRun(id, request);
            return fail(id, ErrorKind::UpstreamLost);
        case RequestFate::AnswerGone:
            return fail(id,
                        request.received == 0 ? ErrorKind::AnswerGone : ErrorKind::UpstreamLost);
        case RequestFate::Unknown:
            return fail(id, request.following(id) ? ErrorKind::OutcomeUnknown
                                                  : ErrorKind::UpstreamLost);
        }
    }

    void settleNotRun(RequestId id, EntryRequest &request)
    {
        // A request that followed another may replace only the claim proved not to have run.
        if (!request.following(id))
            return requeue(id, request, ErrorKind::UpstreamLost);
        const ClaimToken proved = request.supersedes;
        requeue(id, request, ErrorKind::KeyInProgress);
        if (const auto still = requests.find(id); still != requests.end())
            still->second.supersedes = proved;
    }

    void refused(const Refused &message)
    {
        const auto found = requests.find(message.request);
        if (found == requests.end() || !found->second.dispatched()
            || found->second.credit.credit.id != message.credit)
            return;
        EntryRequest &request = found->second;
        if (message.kind == ErrorKind::Quarantined || message.kind == ErrorKind::DeadlineUnmet)
            return fail(message.request, message.kind);
        requeue(message.request, request, message.kind);
    }

    // --- idempotency keys ---

    void follow(RequestId id, EntryRequest &request, const ClaimRecord &holder, TimePoint now)
    {
        if (holder.digest != request.submission.fingerprint)
            return fail(id, ErrorKind::KeyConflict);
        ++counters.followed;
        returnCredit(request.credit);
        request.answerOf = holder.request;
        request.supersedes = holder.token;
        request.state = EntryRequestState::Settling;
        request.settleBy = now + options.settleBound;
        request.lastReceivedAt = now;
        consumers.emplace(holder.request, id);
        endpoints[holder.request] = {holder.gate, holder.gateName, holder.credit};
        queryOutcome(request);
    }

    void queryOutcome(const EntryRequest &request)
    {
        const auto endpoint = endpoints.find(request.answerOf);
        if (endpoint == endpoints.end())
            return;
        const Gate *gate = gateByName(endpoint->second.gateName);
        if (!gate || gate->link == 0)
            return;
        ++counters.resumed;
        send(gate->link, statusQuery(request));
    }

    // --- load shedding ---

    bool isOverdue(RequestId id, TimePoint now) const
    {
        const EntryRequest &request = requests.at(id);
        return now - request.arrivedAt > firstTokenTarget(request.submission.tier);
    }

    std::vector<TierQueue> tierQueues(TimePoint now) const
    {
        const auto &tiers = config->preset().tiers;
        std::vector<TierQueue> queues;
        for (std::size_t tier = 0; tier < tiers.size(); ++tier) {
            const auto rank = static_cast<TierRank>(tier);
            const auto oldest = queue.oldest(rank);
            const bool overdue = options.shedOverdue && oldest && isOverdue(*oldest, now);
            queues.push_back({queue.size(rank), tiers[tier].queueLimit, overdue});
        }
        return queues;
    }

    void updateShedding(TimePoint now)
    {
        if (!config)
            return;
        const auto levels = [this] {
            return std::tuple(shed.wantedLevel(), shed.closedLevel(), shed.promisedLevel());
        };
        const auto levelsBefore = levels();
        const std::vector<TierQueue> queues = tierQueues(now);
        shed.update(queues, now);
        if (shed.closedLevel() > std::get<1>(levelsBefore))
            evictClosed();
        shedExcess(queues, now);
        if (levels() != levelsBefore)
            sendHeartbeats(now);
    }

    void evictClosed()
    {
        const auto tiers = static_cast<int>(config->preset().tiers.size());
        for (int tier = tiers - 1; tier >= 0 && shed.isClosed(static_cast<TierRank>(tier));
             --tier) {
            for (const RequestId id : queue.ofTier(static_cast<TierRank>(tier)))
                fail(id, ErrorKind::Overloaded);
        }
    }

    /// From the lowest tier up, refuses overdue requests, then the newest over the queue limit.
    void shedExcess(const std::vector<TierQueue> &queues, TimePoint now)
    {
        for (int tier = static_cast<int>(queues.size()) - 1; tier >= 0; --tier) {
            const auto rank = static_cast<TierRank>(tier);
            const TierQueue &state = queues[static_cast<std::size_t>(tier)];
            if (!shed.mayShed(rank, now))
                return;
            for (auto oldest = queue.oldest(rank);
                 state.overdue && oldest && isOverdue(*oldest, now); oldest = queue.oldest(rank))
                fail(*oldest, ErrorKind::Overloaded);
            while (queue.size(rank) > state.limit)
                fail(*queue.newest(rank), ErrorKind::Overloaded);
        }
    }

    // --- configuration ---

    void configChanged(TimePoint now)
    {
        config = intake.current();
        shed.setTierCount(config->preset().tiers.size());
        demandChanged = true;
        updateShedding(now);
        for (const auto &[incarnation, gate] : gates) {
            if (gate.link != 0 && gate.heartbeat.generation < config->generation)
                send(gate.link, ConfigPush{config->generation, config->text});
        }
        sendHeartbeats(now);
    }

    void configPushed(const ConfigPush &push, TimePoint now)
    {
        const auto pushed = parseFleetConfig(push.text, push.generation);
        if (pushed && intake.offerFromPeer(*pushed, now))
            configChanged(now);
    }

    // --- periodic ---

    EntryReport report() const
    {
        EntryReport message;
        message.name = options.name;
        message.incarnation = options.incarnation;
        message.generation = config ? config->generation : 0;
        const std::size_t tiers = config ? config->preset().tiers.size() : 0;
        for (std::size_t tier = 0; tier < tiers; ++tier)
            message.queuedByTier.push_back(
                static_cast<std::uint32_t>(queue.size(static_cast<TierRank>(tier))));
        message.inFlight = static_cast<std::uint32_t>(std::ranges::count_if(
            requests, [](const auto &row) { return row.second.dispatched(); }));
        return message;
    }

    bool hostLeaves(const Gate &gate) const
    {
        return std::ranges::find(leavingHosts, gate.identity.name) != leavingHosts.end();
    }

    EntryHeartbeat heartbeatFor(const Gate &gate, const EntryReport &own) const
    {
        return {own, shed.wantedLevel(), shed.closedLevel(), shed.promisedLevel(),
                hostLeaves(gate)};
    }

    void sendHeartbeats(TimePoint now)
    {
        lastHeartbeat = now;
        const EntryReport own = report();
        for (const auto &[incarnation, gate] : gates) {
            if (gate.link != 0)
                send(gate.link, heartbeatFor(gate, own));
        }
        demandChanged = demandChanged || queue.size() > 0;
    }

    void announceDemand(TimePoint now)
    {
        if (!demandChanged || now - lastDemand < demandInterval)
            return;
        demandChanged = false;
        lastDemand = now;
        std::vector<DemandRow> rows = queue.demand();
        for (const RequestId id : suspects) {
            const Submission &submission = requests.at(id).submission;
            rows.push_back({submission.target, submission.tier, submission.workspace, 1,
                            submission.promptTokens});
        }
        for (auto &[incarnation, gate] : gates)
            announceTo(gate, rows);
    }

    void announceTo(Gate &gate, const std::vector<DemandRow> &rows)
    {
        if (gate.link == 0)
            return;
        Demand message;
        if (usable(gate))
            std::ranges::copy_if(rows, std::back_inserter(message.rows),
                                 [&](const auto &row) { return serves(gate, row.target); });
        if (message.rows.empty() && !gate.demandSent)
            return;
        gate.demandSent = !message.rows.empty();
        send(gate.link, std::move(message));
    }

    void expireRequests(TimePoint now)
    {
        std::vector<std::pair<RequestId, ErrorKind>> expired;
        for (const auto &[id, request] : requests) {
            if (const auto kind = expiry(id, request, now))
                expired.emplace_back(id, *kind);
        }
        for (const auto &[id, kind] : expired)
            expireRequest(id, kind);
    }

    std::optional<ErrorKind> expiry(RequestId id, const EntryRequest &request, TimePoint now) const
    {
        if (now >= request.deadline)
            return request.dispatched() ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineUnmet;
        if (request.state == EntryRequestState::Waiting && wouldMissDeadline(request, now))
            return ErrorKind::DeadlineUnmet;
        if (request.state == EntryRequestState::Waiting
            && now - std::max(request.arrivedAt, lastUsable(request)) >= noUpstreamBound)
            return ErrorKind::NoUpstream;
        if (request.state == EntryRequestState::Settling && now >= request.settleBy)
            return request.following(id) ? ErrorKind::OutcomeUnknown : ErrorKind::UpstreamLost;
        return std::nullopt;
    }

    /// Whether the response would end after the deadline even if it were started now.
    bool wouldMissDeadline(const EntryRequest &request, TimePoint now) const
    {
        if (!options.refuseUnmeetable || !config)
            return false;
        const Duration answerTime =
            request.submission.outputTokens * config->preset().betweenTokensTarget;
        return now + answerTime > request.deadline;
    }

    /// The last time an upstream of the request's target was usable.
    TimePoint lastUsable(const EntryRequest &request) const
    {
        const auto found = usableAt.find(request.submission.target);
        return found == usableAt.end() ? TimePoint{} : found->second;
    }

    void recordUsableTargets(TimePoint now)
    {
        for (const auto &[incarnation, gate] : gates) {
            if (!usable(gate))
                continue;
            for (const std::string &target : gate.heartbeat.targets)
                usableAt[target] = now;
        }
    }

    void expireRequest(RequestId id, ErrorKind kind)
    {
        cancelUpstream(id);
        fail(id, kind);
    }

    void cancelUpstream(RequestId id)
    {
        const EntryRequest &request = requests.at(id);
        if (!request.dispatched() || consumers.count(request.answerOf) > 1)
            return;
        if (const GateLinkId link = answerLink(request.answerOf); link != 0)
            send(link, Cancel{request.answerOf});
    }

    /// The link on which a response arrives, or 0. Found by the gate's name, because the gate may
    /// have restarted since the dispatch.
    GateLinkId answerLink(RequestId answer)
    {
        const auto endpoint = endpoints.find(answer);
        const Gate *gate =
            endpoint == endpoints.end() ? nullptr : gateByName(endpoint->second.gateName);
        return gate ? gate->link : 0;
    }

    void queryUnresponsive(TimePoint now)
    {
        for (auto &[id, request] : requests) {
            const bool unaccepted = request.state == EntryRequestState::Sent
                                    && now - request.lastReceivedAt > acceptTimeout;
            const bool quiet = request.state == EntryRequestState::Answering
                               && now - request.lastReceivedAt > responseTimeout;
            if (!unaccepted && !quiet)
                continue;
            request.lastReceivedAt = now;
            queryOutcome(request);
        }
    }

    void closeUnresponsive(EntryCore &core, TimePoint now)
    {
        std::vector<GateLinkId> unresponsive;
        for (const auto &[incarnation, gate] : gates) {
            if (gate.link != 0 && now - gate.lastReceived > options.silence)
                unresponsive.push_back(gate.link);
        }
        for (const GateLinkId link : unresponsive) {
            core.linkDown(link, now);
            actions.push_back(entry::CloseLink{link});
        }
    }

    void recall(Incarnation gate, const RecallCredits &message)
    {
        for (auto &[target, credits] : pool)
            std::erase_if(credits, [&](const HeldCredit &held) {
                return held.gate == gate
                       && std::ranges::find(message.credits, held.credit.id)
                              != message.credits.end();
            });
    }

    /// Offers pooled credits again, since requests accept slower engines the longer they wait.
    void retryPool(TimePoint now)
    {
        if (queue.size() == 0)
            return;
        for (auto &[target, credits] : pool) {
            for (HeldCredit &held : std::exchange(credits, {})) {
                if (held.expires > now && gates.contains(held.gate))
                    useCredit(std::move(held), now);
            }
        }
    }

    void expireCredits(TimePoint now)
    {
        for (auto &[target, credits] : pool)
            std::erase_if(credits, [now](const auto &held) { return held.expires <= now; });
    }

    void flushReturns()
    {
        for (auto &[link, message] : std::exchange(returns, {}))
            send(link, std::move(message));
    }

    struct AnswerEndpoint
    {
        Incarnation gate = 0;
        std::string gateName;
        CreditId credit = 0;
    };

    EntryOptions options;
    ConfigIntake intake;
    /// The current configuration; null before the first one is received.
    FleetConfigPtr config;
    ShedControl shed;
    AffinityMap affinity;
    WaitingQueue queue;
    QuarantineTable quarantineTable;
    std::vector<RequestId> suspects;
    std::vector<RequestId> heldAtStart;
    std::unordered_map<RequestId, EntryRequest> requests;
    /// Maps the request that owns a response to the local requests that receive it.
    std::multimap<RequestId, RequestId> consumers;
    std::map<RequestId, AnswerEndpoint> endpoints;
    std::map<Incarnation, Gate> gates;
    std::map<GateLinkId, Incarnation> gateByLinkId;
    std::map<std::string, std::vector<HeldCredit>, std::less<>> pool;
    std::map<GateLinkId, ReturnCredits> returns;
    std::vector<std::string> leavingHosts;
    std::map<std::string, TimePoint, std::less<>> usableAt;
    std::vector<EntryAction> actions;
    EntryCounters counters;
    std::uint64_t sequence = 0;
    std::uint64_t claimSequence = 0;
    bool draining = false;
    bool gateHeartbeatReceived = false;
    bool demandChanged = false;
    TimePoint lastDemand{};
    TimePoint unclaimedUntil{};
    TimePoint lastHeartbeat{};
};

EntryCore::EntryCore(EntryOptions options)
    : m_private(std::make_unique<Private>(std::move(options)))
{}

EntryCore::~EntryCore() = default;

RequestId EntryCore::submit(Submission submission, TimePoint now)
{
    auto &p = *m_private;
    const RequestId id{p.options.incarnation, ++p.sequence};
    EntryRequest &request = p.requests[id];
    request.submission = std::move(submission);
    request.arrivedAt = now;
    request.deadline = now + request.submission.timeToDeadline;
    request.answerOf = id;
    if (p.draining)
        p.fail(id, ErrorKind::Draining);
    else if (!p.config)
        p.fail(id, ErrorKind::NoUpstream);
    else if (!p.gateHeartbeatReceived)
        p.heldAtStart.push_back(id);
    else
        p.admit(id, request, now);
    return id;
}

void EntryCore::callerGone(RequestId request, TimePoint)
{
    auto &p = *m_private;
    if (!p.requests.contains(request))
        return;
    ++p.counters.refusals[ErrorKind::CallerGone];
    p.cancelUpstream(request);
    // The result of a claim in progress arrives later and is ignored, so return its credit here.
    if (p.requests.at(request).state == EntryRequestState::Claiming)
        p.returnCredit(p.requests.at(request).credit);
    p.removeRequest(request);
}

void EntryCore::callerTook(RequestId request, std::uint64_t bytes, TimePoint)
{
    auto &p = *m_private;
    const auto found = p.requests.find(request);
    if (found == p.requests.end())
        return;
    found->second.taken = std::max(found->second.taken, bytes);
    const RequestId answer = found->second.answerOf;
    const GateLinkId link = p.answerLink(answer);
    if (link == 0)
        return;
    std::uint64_t least = bytes;
    for (const RequestId id : p.consumersOf(answer))
        least = std::min(least, p.requests.at(id).taken);
    p.send(link, AnswerAck{answer, least, false});
}

void EntryCore::claimResult(RequestId id, const ClaimResult &result, TimePoint now)
{
    auto &p = *m_private;
    const auto found = p.requests.find(id);
    if (found == p.requests.end() || found->second.state != EntryRequestState::Claiming)
        return;
    EntryRequest &request = found->second;
    if (result.status == ClaimStatus::Exists)
        return p.follow(id, request, result.holder, now);
    if (result.status == ClaimStatus::Claimed)
        return p.dispatch(id, request, now);
    if (request.submission.idempotent) {
        // The credit has expired by now; the request uses the next one without a claim.
        p.unclaimedUntil = now + unclaimedPeriod;
        p.returnCredit(request.credit);
        return p.requeue(id, request, ErrorKind::StoreUnavailable);
    }
    p.returnCredit(request.credit);
    p.fail(id, ErrorKind::StoreUnavailable);
}

void EntryCore::linkUp(GateLinkId link, const GateIdentity &gate, TimePoint now)
{
    auto &p = *m_private;
    std::vector<GateLinkId> replaced;
    for (const auto &[incarnation, old] : p.gates) {
        if (old.identity.name == gate.name && old.link != 0)
            replaced.push_back(old.link);
    }
    for (const GateLinkId old : replaced) {
        linkDown(old, now);
        p.actions.push_back(entry::CloseLink{old});
    }
    std::erase_if(p.gates,
                  [&gate](const auto &row) { return row.second.identity.name == gate.name; });
    Private::Gate &record = p.gates[gate.incarnation];
    record.identity = gate;
    record.link = link;
    record.lastReceived = now;
    p.gateByLinkId[link] = gate.incarnation;
    p.send(link, p.heartbeatFor(record, p.report()));
    if (const auto rows = p.quarantineTable.rows(); !rows.empty())
        p.send(link, FingerprintReports{rows});
    for (const auto &[id, request] : p.requests) {
        const auto endpoint = p.endpoints.find(request.answerOf);
        if (request.state == EntryRequestState::Settling && endpoint != p.endpoints.end()
            && endpoint->second.gateName == gate.name)
            p.queryOutcome(request);
    }
    p.demandChanged = true;
}

void EntryCore::linkDown(GateLinkId link, TimePoint now)
{
    auto &p = *m_private;
    const auto found = p.gateByLinkId.find(link);
    if (found == p.gateByLinkId.end())
        return;
    const Incarnation incarnation = found->second;
    const std::string gateName = p.gates.at(incarnation).identity.name;
    p.gateByLinkId.erase(found);
    p.gates.erase(incarnation);
    p.shed.removeGate(incarnation);
    for (auto &[target, credits] : p.pool)
        std::erase_if(credits,
                      [incarnation](const auto &held) { return held.gate == incarnation; });
    p.returns.erase(link);
    for (auto &[id, request] : p.requests) {
        const auto endpoint = p.endpoints.find(request.answerOf);
        const bool affected = request.dispatched() && endpoint != p.endpoints.end()
                              && endpoint->second.gateName == gateName;
        if (!affected || request.state == EntryRequestState::Settling)
            continue;
        request.state = EntryRequestState::Settling;
        request.settleBy = now + p.options.settleBound;
    }
}

void EntryCore::receive(GateLinkId link, const PeerMessage &message, TimePoint now)
{
    auto &p = *m_private;
    Private::Gate *gate = p.gateByLink(link);
    if (!gate)
        return;
    gate->lastReceived = now;
    if (const auto *grant = std::get_if<Grant>(&message)) {
        for (const Credit &credit : grant->credits) {
            const auto life = std::chrono::duration_cast<Duration>(milliseconds(credit.lifeMs)
                                                                   * usableShareOfLife);
            p.useCredit({credit, gate->identity.incarnation, gate->identity.name, now, now + life},
                        now);
        }
    } else if (const auto *recalled = std::get_if<RecallCredits>(&message)) {
        p.recall(gate->identity.incarnation, *recalled);
    } else if (const auto *chunk = std::get_if<AnswerChunk>(&message)) {
        p.chunk(*chunk, now);
    } else if (const auto *head = std::get_if<AnswerHead>(&message)) {
        p.head(*head, now);
    } else if (const auto *end = std::get_if<AnswerEnd>(&message)) {
        p.end(link, *end, now);
    } else if (const auto *accepted = std::get_if<Accepted>(&message)) {
        const auto found = p.requests.find(accepted->request);
        if (found != p.requests.end() && found->second.state == EntryRequestState::Sent)
            found->second.state = EntryRequestState::Answering;
    } else if (const auto *refused = std::get_if<Refused>(&message)) {
        p.refused(*refused);
    } else if (const auto *reply = std::get_if<StatusReply>(&message)) {
        p.statusReply(*reply, now);
    } else if (const auto *reports = std::get_if<FingerprintReports>(&message)) {
        learnFingerprints(reports->reports, now);
    } else if (const auto *push = std::get_if<ConfigPush>(&message)) {
        p.configPushed(*push, now);
    } else if (const auto *heartbeat = std::get_if<GateHeartbeat>(&message)) {
        const bool changed = gate->heartbeat.targets != heartbeat->targets
                             || gate->heartbeat.engineUp != heartbeat->engineUp
                             || gate->heartbeat.leaving != heartbeat->leaving
                             || !gate->heartbeatReceived;
        p.demandChanged = p.demandChanged || changed;
        auto reports = std::move(gate->heartbeat.entries);
        gate->heartbeat = *heartbeat;
        if (gate->heartbeat.entries.empty())
            gate->heartbeat.entries = std::move(reports);
        gate->heartbeatReceived = true;
        p.shed.observeGate(gate->identity.incarnation, *heartbeat, now);
        p.admitHeld(now);
        if (p.config && heartbeat->generation < p.config->generation)
            p.send(link, ConfigPush{p.config->generation, p.config->text});
        p.updateShedding(now);
    }
}

bool EntryCore::applyConfig(const FleetConfigPtr &config, TimePoint now)
{
    const bool newer = m_private->intake.offerStored(config);
    if (newer)
        m_private->configChanged(now);
    return newer;
}

void EntryCore::setLeavingHosts(std::vector<std::string> names, TimePoint now)
{
    auto &p = *m_private;
    if (names == p.leavingHosts)
        return;
    p.leavingHosts = std::move(names);
    p.demandChanged = true;
    p.sendHeartbeats(now);
}

void EntryCore::setDraining(bool draining)
{
    m_private->draining = draining;
}

void EntryCore::learnFingerprints(const std::vector<FingerprintReport> &reports, TimePoint)
{
    auto &p = *m_private;
    const auto added = p.quarantineTable.merge(reports);
    if (added.empty())
        return;
    for (const auto &[incarnation, gate] : p.gates) {
        if (gate.link != 0)
            p.send(gate.link, FingerprintReports{added});
    }
    std::vector<RequestId> affected;
    for (const auto &[id, request] : p.requests) {
        const auto same = [&r = request](const FingerprintReport &report) {
            return report.fingerprint == r.submission.fingerprint;
        };
        if (request.state == EntryRequestState::Waiting && std::ranges::any_of(added, same))
            affected.push_back(id);
    }
    for (const RequestId id : affected) {
        p.dequeue(id);
        p.queueOrRefuse(id, p.requests.at(id));
    }
}

bool EntryCore::release(Fingerprint fingerprint, TimePoint now)
{
    const auto rows = m_private->quarantineTable.clearingReports(fingerprint);
    learnFingerprints(rows, now);
    return !rows.empty();
}

void EntryCore::tick(TimePoint now)
{
    auto &p = *m_private;
    if (p.intake.tick(now))
        p.configChanged(now);
    p.closeUnresponsive(*this, now);
    p.recordUsableTargets(now);
    p.expireRequests(now);
    p.expireCredits(now);
    p.retryPool(now);
    p.queryUnresponsive(now);
    p.updateShedding(now);
    if (now - p.lastHeartbeat >= p.options.heartbeat)
        p.sendHeartbeats(now);
}

std::vector<EntryAction> EntryCore::takeActions(TimePoint now)
{
    m_private->flushReturns();
    m_private->announceDemand(now);
    return std::exchange(m_private->actions, {});
}

std::size_t EntryCore::requestCount() const
{
    return m_private->requests.size();
}

std::size_t EntryCore::queued(TierRank tier) const
{
    return m_private->queue.size(tier);
}

EntryStatus EntryCore::status() const
{
    const auto &p = *m_private;
    EntryStatus status;
    status.report = p.report();
    status.wantedLevel = p.shed.wantedLevel();
    status.closedLevel = p.shed.closedLevel();
    for (const auto &[incarnation, gate] : p.gates)
        status.gates.push_back(
            {gate.identity.name, gate.identity.dataCentre, incarnation, gate.heartbeat});
    return status;
}

const EntryCounters &EntryCore::counters() const
{
    return m_private->counters;
}

const FleetConfigPtr &EntryCore::config() const
{
    return m_private->config;
}

const QuarantineTable &EntryCore::quarantine() const
{
    return m_private->quarantineTable;
}

} // namespace tamarack
