#include "support/QueueSimulation.h"

#include "base/Hash.h"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace tamarack::harness {

namespace {

const std::string service = "models";
/// Latencies of an engine with all slots occupied; the simulation uses them at every load.
constexpr double firstTokenMs = 90;
constexpr double promptTokenMs = 0.012;
constexpr double eventMs = 20;
constexpr milliseconds pauseBound{250};
/// Clients honour a `Retry-After` of up to this fraction of their remaining time.
constexpr double maxRetryAfterFraction = 1.0 / 3;

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

UpstreamRecord engineRecord(int number, int slots)
{
    UpstreamRecord record;
    record.id = "engine-" + std::to_string(number);
    record.service = service;
    record.dataCentre = "dc";
    record.slots = slots;
    return record;
}

} // namespace

RequestCounts &RequestCounts::operator+=(const RequestCounts &other)
{
    arrivals += other.arrivals;
    served += other.served;
    onTime += other.onTime;
    returned += other.returned;
    returnsServed += other.returnsServed;
    heldInVain += other.heldInVain;
    return *this;
}

QueueSimulation::QueueSimulation(QueueSimulationOptions options, std::vector<LoadKind> kinds)
    : m_options(options)
    , m_kinds(std::move(kinds))
    , m_counts(m_kinds.size())
    , m_random(options.seed)
{
    std::vector<UpstreamRecord> records;
    for (int i = 0; i < options.upstreams; ++i)
        records.push_back(engineRecord(i, options.slots));
    for (int i = 0; i < options.upstreams; ++i) {
        Engine &engine = m_engines[upstreamKey(records[i])];
        engine.factor = i < options.slowUpstreams ? options.slowFactor : 1;
        engine.number = static_cast<std::uint64_t>(i);
    }
    std::set<std::string> names;
    for (int i = 0; i < options.entries; ++i)
        names.insert(std::to_string(i));
    for (int i = 0; i < options.entries; ++i) {
        auto entry = std::make_unique<Entry>();
        entry->upstreams.setEngines({service});
        entry->upstreams.assign(records);
        const std::string own = std::to_string(i);
        std::set<std::string> others = names;
        others.erase(own);
        if (options.statesLoad)
            entry->upstreams.rankEntries(own, others);
        entry->queue = std::make_unique<DispatchQueue>(entry->upstreams, "dc", options.scheduling);
        m_entries.push_back(std::move(entry));
    }
}

void QueueSimulation::run(Duration length)
{
    m_arrivalsEnd = m_now + length;
    for (std::size_t kind = 0; kind < m_kinds.size(); ++kind)
        if (m_kinds[kind].perSecond > 0)
            schedule(Duration::zero(), [this, kind] { arrive(kind); });
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        schedule(m_options.reportInterval * i / m_entries.size(),
                 [this, i] { reportLoad(*m_entries[i]); });
    while (!m_events.empty()) {
        auto next = m_events.extract(m_events.begin());
        m_now = next.key();
        next.mapped()();
    }
}

RequestCounts QueueSimulation::total() const
{
    return std::accumulate(
        m_counts.begin(), m_counts.end(), RequestCounts{},
        [](RequestCounts sum, const RequestCounts &each) { return sum += each; });
}

void QueueSimulation::schedule(Duration delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void QueueSimulation::arrive(std::size_t kind)
{
    if (m_now >= m_arrivalsEnd)
        return;
    const LoadKind &load = m_kinds[kind];
    const double factor = isPeak() ? m_options.peakFactor : 1;
    std::exponential_distribution<double> pause(factor * load.perSecond / 1000);
    std::exponential_distribution<double> length(1 / load.events);
    schedule(fromMs(pause(m_random)), [this, kind] { arrive(kind); });
    ++m_counts[kind].arrivals;
    const auto events = static_cast<std::uint32_t>(1 + length(m_random));
    submit({kind, events, m_now, m_now, m_now + load.deadline, false});
}

bool QueueSimulation::isPeak() const
{
    return m_options.peakEvery > Duration::zero()
           && (m_now - m_start) % m_options.peakEvery < m_options.peakLength;
}

void QueueSimulation::submit(Call call)
{
    Entry &entry = *m_entries[m_random() % m_entries.size()];
    call.queuedAt = m_now;
    const LoadKind &kind = m_kinds[call.kind];
    QueuedRequest request;
    request.ticket = ++m_lastTicket;
    request.service = service;
    request.rank = kind.rank;
    request.promptTokens = kind.promptTokens;
    request.responseEvents = call.events;
    request.arrived = call.arrivedAt;
    request.queuedAt = m_now;
    request.objectiveAt = call.arrivedAt + kind.objective;
    request.pauseObjective = kind.pauseObjective;
    request.deadlineAt = call.deadlineAt;
    request.isFirstAttempt = !call.isRetry;
    request.refuseAt =
        refusalTime({m_now, kind.objective, pauseBound, true, call.deadlineAt - m_now,
                     m_now - call.arrivedAt, m_options.scheduling.lateIsServed});
    schedule(request.refuseAt - m_now, [this, &entry] { applyDecisions(entry); });
    entry.calls.emplace(request.ticket, call);
    entry.queue->push(std::move(request));
    applyDecisions(entry);
}

void QueueSimulation::applyDecisions(Entry &entry)
{
    const QueueDecisions decisions = entry.queue->decide(m_now);
    for (const Assignment &assignment : decisions.assignments)
        start(entry, assignment);
    for (const QueueRefusal &refusal : decisions.refusals) {
        auto refused = entry.calls.extract(refusal.ticket);
        const Call &call = refused.mapped();
        RequestCounts &count = m_counts[call.kind];
        count.heldInVain += m_now - call.queuedAt > m_kinds[call.kind].objective / 2 ? 1 : 0;
        scheduleRetry(call, refusal.retryAfter);
    }
}

void QueueSimulation::start(Entry &entry, const Assignment &assignment)
{
    const Call call = entry.calls.extract(assignment.ticket).mapped();
    const UpstreamPtr upstream = assignment.upstream;
    const std::uint32_t freshTokens = assignment.freshTokens;
    Engine &engine = m_engines[upstream->key];
    auto begin = [this, &entry, call, upstream, freshTokens] {
        execute(entry, call, upstream, freshTokens);
    };
    countStart(engine);
    if (!isFree(engine))
        engine.waiting.push_back(std::move(begin));
    else
        begin();
}

bool QueueSimulation::isFree(const Engine &engine) const
{
    return static_cast<int>(engine.running.size()) < m_options.slots;
}

void QueueSimulation::countStart(const Engine &engine)
{
    const bool anyFree =
        std::ranges::any_of(m_engines, [this](const auto &item) { return isFree(item.second); });
    ++m_starts.all;
    m_starts.queuedBesideFree += anyFree && engine.waiting.size() > UpstreamTable::fewWaiting;
}

double QueueSimulation::slowness(const Engine &engine) const
{
    constexpr std::uint64_t steps = 1000;
    const auto interval =
        static_cast<std::uint64_t>(m_now.time_since_epoch() / m_options.slowdownInterval);
    const double position =
        static_cast<double>(mixBits(engine.number, interval) % steps) / double(steps);
    return position < m_options.slowdownShare ? m_options.slowdown : 1;
}

void QueueSimulation::stateLoad(Entry &entry, UpstreamState &upstream, const Engine &engine)
{
    if (!m_options.statesLoad)
        return;
    const UpstreamOccupancy stated{static_cast<std::uint32_t>(engine.running.size()),
                                   static_cast<std::uint32_t>(engine.waiting.size()),
                                   static_cast<std::uint32_t>(m_options.slots), slowness(engine)};
    UpstreamTable::recordOccupancy(upstream, stated, m_now);
    applyDecisions(entry);
}

std::shared_ptr<QueueSimulation::Run> QueueSimulation::addRun(Engine &engine,
                                                              std::uint32_t freshTokens)
{
    const Duration pause = fromMs(engine.factor * (eventMs + promptTokenMs * freshTokens));
    for (const auto &other : engine.running)
        other->longestPause = std::max(other->longestPause, pause);
    return *engine.running.insert(std::make_shared<Run>()).first;
}

void QueueSimulation::execute(Entry &entry, const Call &call, const UpstreamPtr &upstream,
                              std::uint32_t freshTokens)
{
    Engine &engine = m_engines[upstream->key];
    const auto run = addRun(engine, freshTokens);
    const LoadKind &kind = m_kinds[call.kind];
    const double factor = engine.factor * slowness(engine);
    const Duration first =
        fromMs(slowness(engine) * firstTokenMs + factor * promptTokenMs * freshTokens);
    const Duration events = fromMs(factor * eventMs * call.events);
    const TimePoint firstAt = m_now + first;
    schedule(first, [this, &entry, &engine, upstream, freshTokens, first] {
        entry.upstreams.firstToken(*upstream, freshTokens);
        entry.upstreams.recordFirstToken(*upstream, freshTokens, first);
        stateLoad(entry, *upstream, engine);
    });
    schedule(first + events, [this, &entry, &engine, &kind, call, upstream, firstAt, run, events] {
        const bool served = m_now <= call.deadlineAt;
        const bool paced =
            kind.pauseObjective == Duration::zero() || run->longestPause <= kind.pauseObjective;
        RequestCounts &count = m_counts[call.kind];
        count.served += served;
        count.returnsServed += served && call.isRetry;
        count.onTime += served && paced && firstAt <= call.arrivedAt + kind.objective;
        entry.upstreams.recordEvents(*upstream, call.events, events);
        entry.upstreams.ended(*upstream);
        entry.queue->ended(service, kind.rank);
        engine.running.erase(run);
        if (!engine.waiting.empty()) {
            const auto next = std::move(engine.waiting.front());
            engine.waiting.pop_front();
            next();
        }
        applyDecisions(entry);
    });
}

void QueueSimulation::scheduleRetry(Call call, Duration retryAfter)
{
    const Duration left = call.deadlineAt - m_now;
    if (call.isRetry || retryAfter > left * maxRetryAfterFraction)
        return;
    call.isRetry = true;
    ++m_counts[call.kind].returned;
    schedule(retryAfter, [this, call] { submit(call); });
}

void QueueSimulation::reportLoad(Entry &entry)
{
    entry.reportedLoads = entry.upstreams.ownLoads();
    entry.reportedDemand = entry.queue->demand(m_now);
    entry.reportedOccupancies.clear();
    for (const ReportedOccupancy &row : entry.upstreams.occupancyReports(m_now))
        entry.reportedOccupancies.emplace_back(row, m_now - row.age);
    entry.reportedReturns = {entry.queue->returnSlots(m_now), m_now};
    for (const auto &other : m_entries)
        if (other.get() != &entry)
            receiveLoads(*other);
    const bool idle = m_now >= m_arrivalsEnd && entry.calls.empty() && entry.reportedLoads.empty();
    if (!idle)
        schedule(m_options.reportInterval, [this, &entry] { reportLoad(entry); });
}

void QueueSimulation::receiveLoads(Entry &entry)
{
    std::unordered_map<UpstreamKey, UpstreamLoad> loads;
    std::vector<QueueDemand> demand;
    std::vector<std::pair<ReturnSlots, TimePoint>> returns;
    for (const auto &other : m_entries) {
        if (other.get() == &entry)
            continue;
        for (const auto &[key, load] : other->reportedLoads) {
            loads[key].inFlight += load.inFlight;
            loads[key].prefillTokens += load.prefillTokens;
        }
        for (const ReturnSlots &row : other->reportedReturns.first)
            returns.emplace_back(row, other->reportedReturns.second);
        demand.insert(demand.end(), other->reportedDemand.begin(), other->reportedDemand.end());
    }
    entry.upstreams.setOthers(loads);
    for (const auto &other : m_entries)
        if (other.get() != &entry)
            entry.upstreams.applyOccupancies(other->reportedOccupancies);
    entry.queue->setPeerDemand(demand, m_now);
    entry.queue->setPeerReturns(returns);
    applyDecisions(entry);
}

} // namespace tamarack::harness
