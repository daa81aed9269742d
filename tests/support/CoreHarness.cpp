#include "support/CoreHarness.h"

#include "base/Hash.h"
#include "model/ClaimCalls.h"
#include "peer/Codec.h"

#include <algorithm>

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarack::harness {

namespace json = boost::json;

namespace {

constexpr milliseconds tickInterval{10};
constexpr milliseconds probeInterval{100};
constexpr milliseconds reconnectInterval{200};
constexpr milliseconds configPoll{500};
constexpr milliseconds storeTimeout{500};
constexpr milliseconds serviceTime{5};
constexpr milliseconds leaveBound{3000};
constexpr std::chrono::microseconds upstreamDelay{300};
constexpr milliseconds betweenTokensTarget{35};
constexpr std::size_t gapBins = 500;
constexpr std::size_t claimShards = 2;
constexpr std::size_t listedObjects = 50;

const std::string modelName = "model";
const std::string serviceTarget = "service:booking";

std::string tokenText(std::uint64_t bodyHash, std::uint32_t index)
{
    return fmt::format("data: {:x}.{}\n\n", bodyHash, index);
}

std::string wholeAnswer(const std::string &body, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i)
        text += tokenText(fnv1a(body), i);
    return text;
}

std::string serviceAnswer(const std::string &body)
{
    return "done:" + body;
}

/// The key that a service body carries: `key=K;rest`.
std::string keyOf(const std::string &body)
{
    constexpr std::string_view prefix = "key=";
    if (!body.starts_with(prefix))
        return "";
    return body.substr(prefix.size(), body.find(';') - prefix.size());
}

struct Event
{
    TimePoint time;
    std::uint64_t sequence = 0;
    std::function<void()> action;

    bool operator>(const Event &other) const
    {
        return std::tie(time, sequence) > std::tie(other.time, other.sequence);
    }
};

/// A process that can be paused or replaced by a new incarnation.
struct Node
{
    bool alive = true;
    std::uint64_t epoch = 1;
    TimePoint pausedUntil{};
    std::vector<std::function<void()>> backlog;
    Generation highestApplied = 0;
};

struct EntryNode : Node
{
    std::unique_ptr<EntryCore> core;
    std::unique_ptr<ClaimBook> claims;
    std::map<RequestId, std::size_t> calls;
};

struct GateNode : Node
{
    std::unique_ptr<GateCore> core;
    Incarnation incarnation = 0;
    TimePoint leavingSince = TimePoint::max();
    std::uint64_t startsSeen = 0;
};

/// An answer being produced, with all its bytes.
struct UpstreamStream
{
    std::string body;
    std::string bytes;
    std::uint32_t tokens = 0;
    std::uint32_t outputTokens = 0;
    bool ended = false;
    bool cancelled = false;
    /// Gate process that reads it, and how far.
    std::uint64_t reader = 0;
    std::size_t sent = 0;
};

struct Upstream
{
    bool engine = true;
    standin::EngineModel model{standin::EngineSpeed{}};
    bool up = true;
    bool stalled = false;
    bool stepping = false;
    std::uint64_t boot = 1;
    std::uint64_t crashes = 0;
    std::map<RequestId, UpstreamStream> streams;
    std::set<RequestId> seen;
};

struct Link
{
    std::uint64_t id = 0;
    bool up = false;
    bool silent = false;
    TimePoint blockedUntil{};
    TimePoint lastArrivalAtGate{};
    TimePoint lastArrivalAtEntry{};
};

} // namespace

struct CoreHarness::Private
{
    explicit Private(HarnessOptions harnessOptions)
        : options(std::move(harnessOptions))
        , random(options.seed)
    {
        if (options.configText.empty())
            options.configText = defaultConfig();
    }

    // --- events ---

    void at(TimePoint time, std::function<void()> action)
    {
        events.push({std::max(time, now), ++eventSequence, std::move(action)});
    }

    void in(Duration delay, std::function<void()> action) { at(now + delay, std::move(action)); }

    void runUntil(TimePoint end)
    {
        while (!events.empty() && events.top().time <= end) {
            Event event = events.top();
            events.pop();
            now = event.time;
            event.action();
        }
        now = end;
    }

    /// Delivers something to a process: dropped if it died since, delayed while it is paused.
    template <typename NodeType>
    void deliver(NodeType &node, std::uint64_t epoch, std::function<void()> action)
    {
        if (!node.alive || node.epoch != epoch)
            return;
        if (node.pausedUntil > now)
            node.backlog.push_back(std::move(action));
        else
            action();
    }

    void violation(std::string text)
    {
        violations.push_back(fmt::format("{} ms: {}", toMs(now.time_since_epoch()), text));
    }

    // --- construction ---

    std::uint64_t freshId() { return (random() | 1) & 0x7FFFFFFFFFFFFFFF; }

    void build()
    {
        acceptedConfig = *parseFleetConfig(
            options.configText,
            *store.put("config", options.configText, standin::ObjectTable::Condition::None, 0));
        const int engines = static_cast<int>(options.engines.size());
        gates.resize(static_cast<std::size_t>(engines + options.services));
        upstreams.resize(gates.size());
        entries.resize(static_cast<std::size_t>(options.entries));
        for (std::size_t i = 0; i < gates.size(); ++i) {
            upstreams[i].engine = static_cast<int>(i) < engines;
            if (upstreams[i].engine)
                upstreams[i].model = standin::EngineModel(standin::engineSpeed(options.engines[i]));
            startGate(i);
        }
        for (std::size_t i = 0; i < entries.size(); ++i)
            startEntry(i);
        for (std::size_t i = 0; i < gates.size(); ++i)
            probeLoop(i);
        connectLoop();
    }

    void startEntry(std::size_t index)
    {
        EntryNode &node = entries[index];
        EntryOptions entryOptions;
        entryOptions.name = fmt::format("entry-{}", index);
        entryOptions.dataCentre = fmt::format("dc-{}", index % 3);
        entryOptions.incarnation = freshId();
        if (options.adjustEntry)
            options.adjustEntry(entryOptions);
        node.core = std::make_unique<EntryCore>(entryOptions);
        ClaimShardOptions claimOptions;
        claimOptions.writer = entryOptions.incarnation;
        node.claims = std::make_unique<ClaimBook>(claimShards, claimOptions);
        node.alive = true;
        node.pausedUntil = {};
        node.backlog.clear();
        tickEntry(index, node.epoch);
        pollConfig(index, node.epoch);
        in(configPoll, [this, index, epoch = node.epoch] {
            deliver(entries[index], epoch, [this, index] { readHostList(index); });
        });
    }

    void startGate(std::size_t index)
    {
        GateNode &node = gates[index];
        GateOptions gateOptions;
        gateOptions.name = nameOfGate(index);
        gateOptions.dataCentre = fmt::format("dc-{}", index % 3);
        gateOptions.incarnation = freshId();
        gateOptions.engine = upstreams[index].engine;
        gateOptions.targets = {upstreams[index].engine ? modelName : serviceTarget};
        gateOptions.adaptiveLimit = upstreams[index].engine;
        gateOptions.seed = options.seed;
        if (options.adjustGate)
            options.adjustGate(gateOptions);
        node.core = std::make_unique<GateCore>(gateOptions);
        node.incarnation = gateOptions.incarnation;
        node.alive = true;
        node.pausedUntil = {};
        node.backlog.clear();
        adoptStreams(index);
        probe(index);
        readConfigAtGate(index);
        tickGate(index, node.epoch);
    }

    std::string nameOfGate(std::size_t index) const { return fmt::format("up-{}", index); }

    void adoptStreams(std::size_t index)
    {
        if (!upstreams[index].engine || !upstreams[index].up)
            return;
        for (const auto &[id, stream] : upstreams[index].streams) {
            if (!stream.ended && !stream.cancelled)
                gates[index].core->adopt({id, modelName}, now);
        }
        pumpGate(index);
    }

    // --- ticks ---

    void tickEntry(std::size_t index, std::uint64_t epoch)
    {
        EntryNode &node = entries[index];
        if (!node.alive || node.epoch != epoch)
            return;
        if (node.pausedUntil <= now) {
            node.core->tick(now);
            node.claims->tick(now, toMs(now.time_since_epoch()) / 1000);
            pumpEntry(index);
        }
        in(tickInterval, [this, index, epoch] { tickEntry(index, epoch); });
    }

    void tickGate(std::size_t index, std::uint64_t epoch)
    {
        GateNode &node = gates[index];
        if (!node.alive || node.epoch != epoch)
            return;
        if (node.pausedUntil <= now) {
            node.core->tick(now);
            pumpGate(index);
        }
        in(tickInterval, [this, index, epoch] { tickGate(index, epoch); });
    }

    void probeLoop(std::size_t index)
    {
        deliver(gates[index], gates[index].epoch, [this, index] { probe(index); });
        in(probeInterval, [this, index] { probeLoop(index); });
    }

    void probe(std::size_t index)
    {
        const Upstream &upstream = upstreams[index];
        gates[index].core->engineHealth(upstream.up ? EngineHealth::Up : EngineHealth::Down,
                                        upstream.boot, now);
        pumpGate(index);
    }

    // --- configuration ---

    void pollConfig(std::size_t index, std::uint64_t epoch)
    {
        EntryNode &node = entries[index];
        if (!node.alive || node.epoch != epoch)
            return;
        if (!isStoreDown() && node.pausedUntil <= now)
            applyStored(index);
        in(configPoll, [this, index, epoch] { pollConfig(index, epoch); });
    }

    void readHostList(std::size_t index)
    {
        entries[index].core->setLeavingHosts(leavingHosts, now);
        pumpEntry(index);
    }

    void applyStored(std::size_t index)
    {
        // A first read asks for the newest; a watch may come from an old replica.
        const bool first = !entries[index].core->config();
        const auto &table = !first && staleUntil > now ? replica : store;
        if (const auto object = table.find("config"))
            entries[index].core->applyConfig(*parseFleetConfig(object->value, object->version),
                                             now);
        pumpEntry(index);
    }

    void readConfigAtGate(std::size_t index)
    {
        if (isStoreDown())
            return;
        const auto object = store.find("config");
        gates[index].core->applyConfig(*parseFleetConfig(object->value, object->version), now);
        pumpGate(index);
    }

    template <typename NodeType>
    void checkGeneration(NodeType &node, const std::string &name)
    {
        const FleetConfigPtr &config = node.core->config();
        const Generation generation = config ? config->generation : 0;
        if (generation != 0 && generation < node.highestApplied)
            violation(name + " applied a lower generation");
        node.highestApplied = std::max(node.highestApplied, generation);
    }

    // --- links ---

    Link &link(std::size_t entry, std::size_t gate) { return links[entry * gates.size() + gate]; }

    void connectLoop()
    {
        links.resize(entries.size() * gates.size());
        for (std::size_t e = 0; e < entries.size(); ++e) {
            for (std::size_t g = 0; g < gates.size(); ++g)
                connect(e, g);
        }
        in(reconnectInterval, [this] { connectLoop(); });
    }

    template <typename NodeType>
    bool responsive(const NodeType &node) const
    {
        return node.alive && node.pausedUntil <= now;
    }

    void connect(std::size_t e, std::size_t g)
    {
        Link &record = link(e, g);
        if (record.up || record.blockedUntil > now || !responsive(entries[e])
            || !responsive(gates[g]))
            return;
        record = {++linkSequence, true, false, {}, now, now};
        const std::uint64_t id = record.id;
        const auto entryOptions = entries[e].core->status().report;
        gates[g].core->linkUp(
            id, {entryOptions.name, fmt::format("dc-{}", e % 3), entryOptions.incarnation}, now);
        entries[e].core->linkUp(
            id, {nameOfGate(g), fmt::format("dc-{}", g % 3), gates[g].incarnation}, now);
        pumpGate(g);
        pumpEntry(e);
    }

    void closeLink(std::size_t e, std::size_t g, std::uint64_t id)
    {
        Link &record = link(e, g);
        if (!record.up || record.id != id)
            return;
        record.up = false;
        const bool silent = record.silent;
        const Duration delay = options.linkDelay;
        // What closes a silent connection is swallowed too; the other end finds out itself.
        if (silent)
            return;
        const auto entryEpoch = entries[e].epoch;
        const auto gateEpoch = gates[g].epoch;
        in(delay, [=, this] {
            deliver(entries[e], entryEpoch, [=, this] {
                entries[e].core->linkDown(id, now);
                pumpEntry(e);
            });
            deliver(gates[g], gateEpoch, [=, this] {
                gates[g].core->linkDown(id, now);
                pumpGate(g);
            });
        });
    }

    void count(const PeerMessage &message)
    {
        ++messageCount;
        if (options.checkAlways)
            return;
        if (!std::holds_alternative<AnswerChunk>(message)
            && !std::holds_alternative<Dispatch>(message))
            controlBytes += encodePeerMessage(message).size() + 20;
    }

    void sendToGate(std::size_t e, std::uint64_t id, PeerMessage message)
    {
        count(message);
        for (std::size_t g = 0; g < gates.size(); ++g) {
            Link &record = link(e, g);
            if (!record.up || record.id != id || record.silent)
                continue;
            record.lastArrivalAtGate = std::max(record.lastArrivalAtGate, now + options.linkDelay);
            noteSent(e, g, message);
            const auto epoch = gates[g].epoch;
            auto shared = std::make_shared<PeerMessage>(std::move(message));
            at(record.lastArrivalAtGate, [=, this] {
                deliver(gates[g], epoch, [=, this] { arriveAtGate(e, g, id, *shared); });
            });
            return;
        }
    }

    void arriveAtGate(std::size_t e, std::size_t g, std::uint64_t id, const PeerMessage &message)
    {
        if (const auto *dispatch = std::get_if<Dispatch>(&message))
            reach(dispatch->request, Step::DispatchArrived, g);
        // The fault that the step brought about may have hit this process or link.
        if (!gates[g].alive || (link(e, g).id == id && link(e, g).silent))
            return;
        const auto epoch = gates[g].epoch;
        deliver(gates[g], epoch, [=, this] {
            gates[g].core->receive(id, message, now);
            pumpGate(g);
        });
    }

    void sendToEntry(std::size_t g, std::uint64_t id, PeerMessage message)
    {
        count(message);
        for (std::size_t e = 0; e < entries.size(); ++e) {
            Link &record = link(e, g);
            if (!record.up || record.id != id || record.silent)
                continue;
            record.lastArrivalAtEntry =
                std::max(record.lastArrivalAtEntry, now + options.linkDelay);
            const auto epoch = entries[e].epoch;
            auto shared = std::make_shared<PeerMessage>(std::move(message));
            at(record.lastArrivalAtEntry, [=, this] {
                deliver(entries[e], epoch, [=, this] { arriveAtEntry(e, g, id, *shared); });
            });
            return;
        }
    }

    void arriveAtEntry(std::size_t e, std::size_t g, std::uint64_t id, const PeerMessage &message)
    {
        if (const auto *end = std::get_if<AnswerEnd>(&message))
            reach(end->request, Step::EndArrived, g);
        if (std::holds_alternative<Grant>(message))
            reachUndispatched(e, Step::CreditReceived, g);
        if (!entries[e].alive || (link(e, g).id == id && link(e, g).silent))
            return;
        const auto epoch = entries[e].epoch;
        deliver(entries[e], epoch, [=, this] {
            entries[e].core->receive(id, message, now);
            pumpEntry(e);
        });
    }

    // --- steps ---

    void noteSent(std::size_t e, std::size_t g, const PeerMessage &message)
    {
        if (const auto *dispatch = std::get_if<Dispatch>(&message))
            reachSoon(dispatch->request, Step::DispatchSent, g);
        if (std::holds_alternative<Demand>(message))
            reachUndispatched(e, Step::DemandSent, g);
    }

    std::optional<std::size_t> callOf(RequestId id) const
    {
        const auto found = callIndex.find(id);
        if (found == callIndex.end())
            return std::nullopt;
        return found->second;
    }

    void reach(RequestId id, Step step, std::size_t gate)
    {
        const auto call = callOf(id);
        if (!call || !stepCallback || !stepsSeen.insert({*call, step}).second)
            return;
        stepCallback(*call, step, static_cast<int>(gate));
    }

    /// For steps in the middle of a process's work: the fault comes right after it.
    void reachSoon(RequestId id, Step step, std::size_t gate)
    {
        if (stepCallback)
            in(Duration::zero(), [this, id, step, gate] { reach(id, step, gate); });
    }

    void reachUndispatched(std::size_t e, Step step, std::size_t gate)
    {
        if (!stepCallback)
            return;
        for (const auto &[id, call] : entries[e].calls) {
            if (!records[call].ended() && !stepsSeen.contains({call, Step::DispatchSent}))
                reachSoon(id, step, gate);
        }
    }

    // --- entry actions ---

    void pumpEntry(std::size_t e)
    {
        EntryNode &node = entries[e];
        checkGeneration(node, fmt::format("entry-{}", e));
        for (const EntryAction &action : node.core->takeActions(now))
            std::visit([this, e](const auto &item) { act(e, item); }, action);
        runClaims(e);
    }

    void act(std::size_t e, const entry::Send &action)
    {
        sendToGate(e, action.link, action.message);
    }

    CallRecord *recordOf(std::size_t e, RequestId id)
    {
        const auto found = entries[e].calls.find(id);
        return found == entries[e].calls.end() ? nullptr : &records[found->second];
    }

    void act(std::size_t, const entry::Head &) {}

    void act(std::size_t e, const entry::Bytes &action)
    {
        CallRecord *record = recordOf(e, action.request);
        if (!record)
            return;
        if (record->bytes.empty())
            record->firstByteAt = now;
        else
            noteGap(*record);
        record->lastByteAt = now;
        record->bytes += action.bytes;
        ++record->pieces;
        if (record->ends > 0)
            violation("bytes after the end of an answer");
    }

    void noteGap(CallRecord &record)
    {
        const auto gap = static_cast<std::size_t>(toMs(now - record.lastByteAt));
        auto &bins = gaps[record.submission.tier];
        bins.resize(gapBins);
        ++bins[std::min(gap, gapBins - 1)];
        record.lateGaps += now - record.lastByteAt > betweenTokensTarget;
    }

    void act(std::size_t e, const entry::Finish &action)
    {
        CallRecord *record = recordOf(e, action.request);
        if (!record)
            return;
        end(*record);
        record->whole = true;
        const std::string expected =
            record->submission.body.stream
                ? wholeAnswer(record->submission.body.body, record->outputTokens)
                : serviceAnswer(record->submission.body.body);
        if (record->bytes != expected)
            violation("a caller got an answer that is not its own and whole");
    }

    void act(std::size_t e, const entry::Fail &action)
    {
        if (action.kind == ErrorKind::Overloaded)
            checkShed(e, action.request);
        CallRecord *record = recordOf(e, action.request);
        if (!record)
            return;
        end(*record);
        record->failure = action.kind;
        if (errorAnswer(action.kind).outcome != Outcome::NotRun)
            return;
        toldNotRun.insert(action.request);
        if (ranIds.contains(action.request))
            violation("told not run, but the upstream has seen the request");
    }

    void end(CallRecord &record)
    {
        record.endedAt = now;
        if (++record.ends > 1)
            violation("a request ended twice");
    }

    void act(std::size_t e, const entry::Claim &action)
    {
        entries[e].claims->submit(action.record, now);
        reachSoon(action.request, Step::ClaimSent, 0);
    }

    void act(std::size_t e, const entry::CloseLink &action)
    {
        for (std::size_t g = 0; g < gates.size(); ++g)
            closeLink(e, g, action.link);
    }

    void checkShed(std::size_t e, RequestId id)
    {
        const auto call = callOf(id);
        if (!call)
            return;
        const TierRank tier = records[*call].submission.tier;
        const std::size_t tiers = entries[e].core->config()->preset().tiers.size();
        for (std::size_t other = 0; other < entries.size(); ++other) {
            if (!responsive(entries[other]) || other == e)
                continue;
            for (std::size_t lower = tier + 1U; lower < tiers; ++lower) {
                if (entries[other].core->queued(static_cast<TierRank>(lower)) > 0)
                    violation(fmt::format("tier {} shed at entry {} while tier {} waits at {}",
                                          tier, e, lower, other));
            }
        }
    }

    // --- claims and the store ---

    bool isStoreDown() const { return storeDownUntil > now; }

    void runClaims(std::size_t e)
    {
        EntryNode &node = entries[e];
        for (std::size_t shard = 0; shard < node.claims->size(); ++shard) {
            if (auto call = node.claims->shard(shard).takeCall(now))
                storeCall(e, shard, *call);
        }
        const auto answers = node.claims->takeAnswers();
        for (const claims::Answer &answer : answers) {
            reach(answer.request, Step::ClaimAnswered, 0);
            const auto epoch = node.epoch;
            deliver(node, epoch, [this, e, answer] {
                entries[e].core->claimResult(answer.request, answer.result, now);
            });
        }
        if (!answers.empty())
            in(Duration::zero(), [this, e, epoch = node.epoch] {
                deliver(entries[e], epoch, [this, e] { pumpEntry(e); });
            });
    }

    void storeCall(std::size_t e, std::size_t shard, const ClaimCall &call)
    {
        const auto epoch = entries[e].epoch;
        const Duration delay = slowUntil > now ? slowDelay : options.storeDelay;
        auto result = std::make_shared<ClaimCallResult>();
        in(delay / 2, [this, call, result] {
            if (isStoreDown())
                return;
            *result = claimCalls.perform(call);
            const bool lost = loseUntil > now && static_cast<int>(random() % 100) < losePercent;
            if (lost)
                *result = {};
        });
        in(delay, [this, e, epoch, shard, result, delay] {
            const bool unknown = result->status == StoreStatus::Unknown || delay > storeTimeout;
            const Duration wait = unknown
                                      ? std::max<Duration>(storeTimeout - delay, Duration::zero())
                                      : Duration::zero();
            if (unknown)
                *result = {};
            in(wait, [this, e, epoch, shard, result] {
                deliver(entries[e], epoch, [this, e, shard, result] {
                    entries[e].claims->shard(shard).callDone(*result, now);
                    pumpEntry(e);
                });
            });
        });
    }

    const standin::ObjectTable &tableFor(std::uint64_t notOlderThan) const
    {
        const bool stale = staleUntil > now && notOlderThan <= replica.lastVersion();
        return stale ? replica : store;
    }

    // --- gate actions ---

    void pumpGate(std::size_t g)
    {
        GateNode &node = gates[g];
        checkGeneration(node, nameOfGate(g));
        noteMark(g);
        for (GateAction &action : node.core->takeActions())
            std::visit([this, g](auto &item) { act(g, item); }, action);
    }

    void noteMark(std::size_t g)
    {
        const bool marked = acceptedConfig->mark(nameOfGate(g)) != Mark::None;
        if (marked && gates[g].leavingSince == TimePoint::max())
            gates[g].leavingSince = now;
    }

    void act(std::size_t g, gate::Send &action) { sendToEntry(g, action.link, action.message); }

    void act(std::size_t g, const gate::Start &action)
    {
        reachSoon(action.request, Step::Started, g);
        const auto epoch = gates[g].epoch;
        in(upstreamDelay, [this, g, epoch, action] { arriveAtUpstream(g, epoch, action); });
    }

    void arriveAtUpstream(std::size_t g, std::uint64_t epoch, const gate::Start &action)
    {
        Upstream &upstream = upstreams[g];
        // A process that died before its connection was made has sent nothing.
        if (!gates[g].alive || gates[g].epoch != epoch)
            return;
        if (!upstream.up) {
            toGate(g, epoch,
                   [this, g, id = action.request] { gates[g].core->startFailed(id, now); });
            return;
        }
        noteRun(g, action);
        UpstreamStream &stream = upstream.streams[action.request];
        stream.body = action.body.body;
        stream.reader = epoch;
        if (!crashText.empty() && stream.body.find(crashText) != std::string::npos)
            return in(milliseconds(15), [this, g] { crash(g, crashRestart); });
        if (upstream.engine)
            startEngineJob(g, action, stream);
        else
            in(serviceTime, [this, g, id = action.request, boot = upstream.boot] {
                if (upstreams[g].up && upstreams[g].boot == boot)
                    finishService(g, id);
            });
    }

    void noteRun(std::size_t g, const gate::Start &action)
    {
        ++gates[g].startsSeen;
        if (!upstreams[g].seen.insert(action.request).second || ranIds.contains(action.request))
            violation("an upstream saw a request twice");
        ranIds.insert(action.request);
        if (toldNotRun.contains(action.request))
            violation("ran after its caller was told not run");
        if (now - gates[g].leavingSince > leaveBound && now > gates[g].leavingSince)
            violation(fmt::format("leaving upstream {} received new work from {:x}", g,
                                  action.request.incarnation));
        const std::string key = keyOf(action.body.body);
        if (!key.empty() && ++keyRuns[key] > 1)
            violation("a keyed call ran twice: " + key);
    }

    void startEngineJob(std::size_t g, const gate::Start &action, UpstreamStream &stream)
    {
        const auto call = callOf(action.request);
        const CallRecord *record = call ? &records[*call] : nullptr;
        stream.outputTokens = record ? record->outputTokens : 1;
        standin::EngineJob job;
        job.id = action.request;
        job.promptTokens = record ? record->submission.promptTokens : 1;
        job.outputTokens = stream.outputTokens;
        job.prefix = record ? record->submission.prefix : 0;
        job.prefixTokens = record ? record->prefixTokens : 0;
        upstreams[g].model.submit(job);
        stepEngine(g);
    }

    void stepEngine(std::size_t g)
    {
        Upstream &upstream = upstreams[g];
        if (upstream.stepping || upstream.stalled || !upstream.up || upstream.model.idle())
            return;
        upstream.stepping = true;
        const auto boot = upstream.boot;
        in(upstream.model.beginStep(), [this, g, boot] {
            Upstream &same = upstreams[g];
            if (same.boot != boot)
                return;
            same.stepping = false;
            for (const standin::EngineToken &token : same.model.finishStep())
                produce(g, token);
            stepEngine(g);
        });
    }

    void produce(std::size_t g, const standin::EngineToken &token)
    {
        const auto found = upstreams[g].streams.find(token.id);
        if (found == upstreams[g].streams.end())
            return;
        UpstreamStream &stream = found->second;
        stream.bytes += tokenText(fnv1a(stream.body), token.index);
        stream.tokens = token.index + 1;
        stream.ended = token.last;
        if (token.index == 0)
            reachSoon(token.id, Step::FirstBytes, g);
        if (token.index * 2 >= stream.outputTokens)
            reachSoon(token.id, Step::HalfAnswered, g);
        if (token.last)
            reachSoon(token.id, Step::EngineEnded, g);
        feed(g, token.id);
    }

    void finishService(std::size_t g, RequestId id)
    {
        UpstreamStream &stream = upstreams[g].streams[id];
        stream.bytes = serviceAnswer(stream.body);
        stream.ended = true;
        reachSoon(id, Step::EngineEnded, g);
        feed(g, id);
    }

    void toGate(std::size_t g, std::uint64_t epoch, std::function<void()> action)
    {
        in(upstreamDelay, [this, g, epoch, action = std::move(action)] {
            deliver(gates[g], epoch, [this, g, action] {
                action();
                pumpGate(g);
            });
        });
    }

    /// Sends what the reading gate process has not got yet.
    void feed(std::size_t g, RequestId id)
    {
        UpstreamStream &stream = upstreams[g].streams[id];
        if (stream.cancelled)
            return;
        const std::uint64_t epoch = stream.reader;
        std::string fresh = stream.bytes.substr(stream.sent);
        stream.sent = stream.bytes.size();
        const bool ended = stream.ended;
        const bool engine = upstreams[g].engine;
        toGate(g, epoch, [this, g, id, fresh, ended, engine] {
            GateCore &core = *gates[g].core;
            core.answerHead(id, 200, engine ? "text/event-stream" : "application/json", now);
            if (!fresh.empty())
                core.answerBytes(id, fresh, engine ? 1 : 0, now);
            if (ended)
                core.answerEnd(id, true, now);
        });
    }

    void act(std::size_t g, const gate::CancelStream &action)
    {
        in(upstreamDelay, [this, g, id = action.request] {
            const auto found = upstreams[g].streams.find(id);
            if (found == upstreams[g].streams.end())
                return;
            found->second.cancelled = true;
            upstreams[g].model.cancel(id);
        });
    }

    void act(std::size_t g, const gate::ResumeStream &action)
    {
        const auto epoch = gates[g].epoch;
        in(upstreamDelay, [this, g, epoch, action] {
            const auto found = upstreams[g].streams.find(action.request);
            if (found == upstreams[g].streams.end() || !upstreams[g].up)
                return toGate(g, epoch, [this, g, id = action.request] {
                    gates[g].core->answerEnd(id, false, now);
                });
            found->second.reader = epoch;
            found->second.sent = action.offset;
            feed(g, action.request);
        });
    }

    void act(std::size_t g, const gate::CloseLink &action)
    {
        for (std::size_t e = 0; e < entries.size(); ++e)
            closeLink(e, g, action.link);
    }

    // --- faults ---

    void crash(std::size_t g, Duration restartAfter)
    {
        Upstream &upstream = upstreams[g];
        if (!upstream.up)
            return;
        upstream.up = false;
        ++upstream.crashes;
        ++upstream.boot;
        upstream.stepping = false;
        upstream.model.clear();
        upstream.streams.clear();
        toGate(g, gates[g].epoch, [this, g] {
            gates[g].core->engineHealth(EngineHealth::Down, upstreams[g].boot, now);
        });
        in(restartAfter, [this, g] { upstreams[g].up = true; });
    }

    template <typename NodeType>
    void resumeLater(std::vector<NodeType> &nodes, std::size_t index, TimePoint until)
    {
        const auto epoch = nodes[index].epoch;
        at(until, [this, &nodes, index, epoch] {
            NodeType &node = nodes[index];
            if (!node.alive || node.epoch != epoch || node.pausedUntil > now)
                return;
            // What arrived during the pause is handled before any timer.
            for (auto &action : std::exchange(node.backlog, {}))
                action();
        });
    }

    HarnessOptions options;
    std::mt19937_64 random;
    TimePoint now = TimePoint{} + std::chrono::hours(1);
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t eventSequence = 0;
    std::vector<EntryNode> entries;
    std::vector<GateNode> gates;
    std::vector<Upstream> upstreams;
    std::vector<Link> links;
    std::uint64_t linkSequence = 0;
    standin::ObjectTable store;
    standin::ObjectTable replica;
    FleetConfigPtr acceptedConfig;
    TimePoint storeDownUntil{};
    TimePoint slowUntil{};
    Duration slowDelay{};
    TimePoint loseUntil{};
    int losePercent = 0;
    TimePoint staleUntil{};
    standin::ClaimCalls claimCalls{
        store,
        [this](std::uint64_t notOlderThan) -> const standin::ObjectTable & {
            return tableFor(notOlderThan);
        },
        listedObjects};
    std::vector<std::string> leavingHosts;
    std::string crashText;
    Duration crashRestart = std::chrono::seconds(5);
    std::vector<CallRecord> records;
    std::map<TierRank, std::vector<std::uint64_t>> gaps;
    std::map<RequestId, std::size_t> callIndex;
    std::set<RequestId> ranIds;
    std::set<RequestId> toldNotRun;
    std::map<std::string, int> keyRuns;
    std::set<std::pair<std::size_t, Step>> stepsSeen;
    std::function<void(std::size_t, Step, int)> stepCallback;
    std::vector<std::string> violations;
    std::uint64_t messageCount = 0;
    std::uint64_t controlBytes = 0;
};

CoreHarness::CoreHarness(HarnessOptions options)
    : m_private(std::make_unique<Private>(std::move(options)))
{
    m_private->build();
}

CoreHarness::~CoreHarness() = default;

TimePoint CoreHarness::now() const
{
    return m_private->now;
}

void CoreHarness::run(Duration duration)
{
    m_private->runUntil(m_private->now + duration);
}

void CoreHarness::after(Duration delay, std::function<void()> action)
{
    m_private->in(delay, std::move(action));
}

std::size_t CoreHarness::callModel(int entry, TierRank tier, const std::string &workspace,
                                   const std::string &body, std::uint32_t promptTokens,
                                   std::uint32_t outputTokens, Duration deadline,
                                   std::uint64_t prefix, std::uint32_t prefixTokens)
{
    Submission submission;
    submission.target = modelName;
    submission.tier = tier;
    submission.workspace = workspace;
    submission.timeToDeadline = deadline;
    submission.fingerprint = fingerprint(workspace, body);
    submission.promptTokens = promptTokens;
    submission.expectedWork =
        std::chrono::microseconds(200) * promptTokens + milliseconds(2) * outputTokens;
    submission.outputTokens = outputTokens;
    submission.prefix = prefix;
    submission.body = {"POST", "/v1/completions", "application/json", body, true};
    return call(entry, std::move(submission), outputTokens, prefixTokens);
}

std::size_t CoreHarness::callService(int entry, const std::string &key, const std::string &body,
                                     Duration deadline)
{
    Submission submission;
    submission.target = serviceTarget;
    submission.workspace = "ws";
    submission.timeToDeadline = deadline;
    submission.key = key;
    submission.idempotent = false;
    submission.body = {"POST", "/book", "application/json", "key=" + key + ";" + body, false};
    submission.fingerprint = fingerprint("ws", submission.body.body);
    return call(entry, std::move(submission), 0);
}

std::size_t CoreHarness::call(int entry, Submission submission, std::uint32_t outputTokens,
                              std::uint32_t prefixTokens)
{
    auto &p = *m_private;
    const auto e = static_cast<std::size_t>(entry);
    const std::size_t index = p.records.size();
    CallRecord record;
    record.entry = entry;
    record.submission = submission;
    record.outputTokens = outputTokens;
    record.prefixTokens = prefixTokens;
    record.key = submission.key;
    record.sentAt = p.now;
    record.connectionLost = !p.entries[e].alive;
    p.records.push_back(std::move(record));
    if (!p.entries[e].alive)
        return index;
    const auto epoch = p.entries[e].epoch;
    p.deliver(p.entries[e], epoch, [&p, e, index, submission]() mutable {
        if (p.records[index].connectionLost)
            return;
        const RequestId id = p.entries[e].core->submit(std::move(submission), p.now);
        p.records[index].id = id;
        p.entries[e].calls[id] = index;
        p.callIndex[id] = index;
        p.reachSoon(id, Step::Submitted, 0);
        p.pumpEntry(e);
    });
    return index;
}

void CoreHarness::hangUp(std::size_t call)
{
    auto &p = *m_private;
    CallRecord &record = p.records[call];
    const auto e = static_cast<std::size_t>(record.entry);
    if (record.ended() || !p.entries[e].alive)
        return;
    record.connectionLost = true;
    p.deliver(p.entries[e], p.entries[e].epoch, [&p, e, id = record.id] {
        p.entries[e].core->callerGone(id, p.now);
        p.pumpEntry(e);
    });
}

const std::vector<CallRecord> &CoreHarness::calls() const
{
    return m_private->records;
}

void CoreHarness::killEntry(int entry, Duration restartAfter)
{
    auto &p = *m_private;
    const auto e = static_cast<std::size_t>(entry);
    EntryNode &node = p.entries[e];
    if (!node.alive)
        return;
    for (std::size_t g = 0; g < p.gates.size(); ++g)
        p.closeLink(e, g, p.link(e, g).id);
    node.alive = false;
    ++node.epoch;
    for (CallRecord &record : p.records) {
        if (record.entry == entry && !record.ended())
            record.connectionLost = true;
    }
    node.calls.clear();
    p.in(restartAfter, [&p, e] { p.startEntry(e); });
}

void CoreHarness::pauseEntry(int entry, Duration duration)
{
    auto &p = *m_private;
    const auto e = static_cast<std::size_t>(entry);
    p.entries[e].pausedUntil = p.now + duration;
    p.resumeLater(p.entries, e, p.now + duration);
}

void CoreHarness::killGate(int gate, Duration restartAfter)
{
    auto &p = *m_private;
    const auto g = static_cast<std::size_t>(gate);
    GateNode &node = p.gates[g];
    if (!node.alive)
        return;
    for (std::size_t e = 0; e < p.entries.size(); ++e)
        p.closeLink(e, g, p.link(e, g).id);
    node.alive = false;
    ++node.epoch;
    p.in(restartAfter, [&p, g] { p.startGate(g); });
}

void CoreHarness::pauseGate(int gate, Duration duration)
{
    auto &p = *m_private;
    const auto g = static_cast<std::size_t>(gate);
    p.gates[g].pausedUntil = p.now + duration;
    p.resumeLater(p.gates, g, p.now + duration);
}

void CoreHarness::crashUpstream(int gate, Duration restartAfter)
{
    m_private->crash(static_cast<std::size_t>(gate), restartAfter);
}

void CoreHarness::stallUpstream(int gate, Duration duration)
{
    auto &p = *m_private;
    const auto g = static_cast<std::size_t>(gate);
    p.upstreams[g].stalled = true;
    p.in(duration, [&p, g] {
        p.upstreams[g].stalled = false;
        p.stepEngine(g);
    });
}

void CoreHarness::slowUpstream(int gate, double factor)
{
    m_private->upstreams[static_cast<std::size_t>(gate)].model.setSlowdown(factor);
}

void CoreHarness::cutLink(int entry, int gate)
{
    auto &p = *m_private;
    const auto e = static_cast<std::size_t>(entry);
    const auto g = static_cast<std::size_t>(gate);
    p.closeLink(e, g, p.link(e, g).id);
}

void CoreHarness::silenceLink(int entry, int gate)
{
    m_private->link(static_cast<std::size_t>(entry), static_cast<std::size_t>(gate)).silent = true;
}

void CoreHarness::partition(int entry, int gate, Duration duration)
{
    auto &p = *m_private;
    Link &link = p.link(static_cast<std::size_t>(entry), static_cast<std::size_t>(gate));
    link.silent = true;
    link.blockedUntil = p.now + duration;
}

void CoreHarness::storeDown(Duration duration)
{
    m_private->storeDownUntil = m_private->now + duration;
}

void CoreHarness::storeSlow(Duration delay, Duration duration)
{
    m_private->slowDelay = delay;
    m_private->slowUntil = m_private->now + duration;
}

void CoreHarness::storeLosesAnswers(int percent, Duration duration)
{
    m_private->losePercent = percent;
    m_private->loseUntil = m_private->now + duration;
}

void CoreHarness::storeReadsStale(Duration duration)
{
    m_private->replica = m_private->store;
    m_private->staleUntil = m_private->now + duration;
}

void CoreHarness::setLeaving(int gate, bool leaving)
{
    auto &p = *m_private;
    const auto g = static_cast<std::size_t>(gate);
    p.gates[g].leavingSince = leaving ? p.now : TimePoint::max();
    p.deliver(p.gates[g], p.gates[g].epoch, [&p, g, leaving] {
        p.gates[g].core->setLeaving(leaving, p.now);
        p.pumpGate(g);
    });
}

void CoreHarness::setHostLeaving(int gate, bool leaving)
{
    auto &p = *m_private;
    const auto g = static_cast<std::size_t>(gate);
    p.gates[g].leavingSince = leaving ? p.now : TimePoint::max();
    std::vector<std::string> names;
    if (leaving)
        names.push_back(p.nameOfGate(g));
    p.leavingHosts = names;
    for (std::size_t e = 0; e < p.entries.size(); ++e)
        p.deliver(p.entries[e], p.entries[e].epoch, [&p, e] { p.readHostList(e); });
}

void CoreHarness::crashOn(std::string text)
{
    m_private->crashText = std::move(text);
}

Generation CoreHarness::acceptConfig(const std::string &text, int entry)
{
    auto &p = *m_private;
    const auto version = *p.store.put("config", text, standin::ObjectTable::Condition::None, 0);
    p.acceptedConfig = *parseFleetConfig(text, version);
    for (std::size_t g = 0; g < p.gates.size(); ++g)
        p.noteMark(g);
    if (entry >= 0) {
        const auto e = static_cast<std::size_t>(entry);
        p.deliver(p.entries[e], p.entries[e].epoch, [&p, e, config = p.acceptedConfig] {
            p.entries[e].core->applyConfig(config, p.now);
            p.pumpEntry(e);
        });
    }
    return version;
}

void CoreHarness::onStep(std::function<void(std::size_t, Step, int)> callback)
{
    m_private->stepCallback = std::move(callback);
}

const std::vector<std::string> &CoreHarness::violations() const
{
    return m_private->violations;
}

void CoreHarness::checkAtRest()
{
    auto &p = *m_private;
    for (std::size_t i = 0; i < p.records.size(); ++i) {
        if (!p.records[i].ended())
            p.violation(fmt::format("call {} has no answer", i));
    }
    for (std::size_t e = 0; e < p.entries.size(); ++e) {
        if (p.entries[e].alive && p.entries[e].core->requestCount() > 0)
            p.violation(fmt::format("entry {} still holds requests", e));
    }
}

int CoreHarness::gateCount() const
{
    return static_cast<int>(m_private->gates.size());
}

std::string CoreHarness::gateName(int gate) const
{
    return m_private->nameOfGate(static_cast<std::size_t>(gate));
}

EntryCore &CoreHarness::entry(int index)
{
    return *m_private->entries[static_cast<std::size_t>(index)].core;
}

GateCore &CoreHarness::gate(int index)
{
    return *m_private->gates[static_cast<std::size_t>(index)].core;
}

bool CoreHarness::entryAlive(int index) const
{
    return m_private->entries[static_cast<std::size_t>(index)].alive;
}

bool CoreHarness::gateAlive(int index) const
{
    return m_private->gates[static_cast<std::size_t>(index)].alive;
}

std::uint64_t CoreHarness::startsAt(int gate) const
{
    return m_private->gates[static_cast<std::size_t>(gate)].startsSeen;
}

std::uint64_t CoreHarness::generatedTokens(int gate) const
{
    return m_private->upstreams[static_cast<std::size_t>(gate)].model.generatedTokens();
}

std::uint64_t CoreHarness::computedPromptTokens() const
{
    std::uint64_t tokens = 0;
    for (const Upstream &upstream : m_private->upstreams)
        tokens += upstream.model.computedPromptTokens();
    return tokens;
}

std::uint64_t CoreHarness::prefillTokens() const
{
    std::uint64_t tokens = 0;
    for (const GateNode &gate : m_private->gates)
        tokens += gate.core->counters().prefillTokens;
    return tokens;
}

std::uint64_t CoreHarness::wastedPrefillTokens() const
{
    std::uint64_t tokens = 0;
    for (const GateNode &gate : m_private->gates)
        tokens += gate.core->counters().wastedPrefillTokens;
    return tokens;
}

const std::vector<std::uint64_t> &CoreHarness::gapHistogram(TierRank tier) const
{
    return m_private->gaps[tier];
}

int CoreHarness::upstreamCrashes() const
{
    std::uint64_t crashes = 0;
    for (const Upstream &upstream : m_private->upstreams)
        crashes += upstream.crashes;
    return static_cast<int>(crashes);
}

std::uint64_t CoreHarness::messages() const
{
    return m_private->messageCount;
}

std::uint64_t CoreHarness::messageBytes() const
{
    return m_private->controlBytes;
}

std::uint64_t CoreHarness::storeWrites() const
{
    return m_private->claimCalls.writes();
}

std::uint64_t CoreHarness::storeReads() const
{
    return m_private->claimCalls.reads();
}

bool CoreHarness::ranAnywhere(RequestId id) const
{
    return m_private->ranIds.contains(id);
}

int CoreHarness::serviceRuns(const std::string &key) const
{
    const auto found = m_private->keyRuns.find(key);
    return found == m_private->keyRuns.end() ? 0 : found->second;
}

std::string defaultConfig(const std::string &preset, std::size_t queueLimit,
                          std::int64_t firstTokenMs)
{
    json::array tiers;
    std::int64_t firstToken = firstTokenMs;
    for (const std::string_view name : {"live", "interactive", "standard", "batch"}) {
        tiers.emplace_back(json::object{{"name", name},
                                        {"queueLimit", queueLimit},
                                        {"deadlineMs", 30'000},
                                        {"firstTokenMs", firstToken}});
        firstToken *= 3;
    }
    const json::object body{{"tiers", tiers}};
    const json::object document{
        {"presetInForce", preset},
        {"presets", json::object{{"ordinary", body}, {"peak", body}, {"maintenance", body}}},
        {"workspaces", json::object{{"ws", json::object{{"weight", 1}}}}},
        {"models", json::array{modelName}},
        {"services", json::object{{"booking", json::object{}}}}};
    return json::serialize(document);
}

} // namespace tamarack::harness
