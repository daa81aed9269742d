#include "PushSimulation.h"

#include <algorithm>

namespace tamarack::bench {

namespace {

constexpr milliseconds reportInterval{100};
constexpr milliseconds reportAge{2000};
constexpr std::chrono::seconds crashTime{10};
constexpr double slowdown = 10;
constexpr std::size_t gapBins = 500;

} // namespace

PushSimulation::PushSimulation(const RunSpec &spec, Duration patience)
    : m_spec(spec)
    , m_patience(patience)
    , m_random(spec.seed)
    , m_progress(spec.arrivals.size())
    , m_served(spec.arrivals.size())
    , m_gaps(gapBins)
{
    for (const int generation : spec.workload.engines)
        m_engines.push_back({standin::EngineModel(standin::engineSpeed(generation))});
}

std::size_t PushSimulation::reportedLoad(std::size_t engine) const
{
    const auto &reports = m_engines[engine].reports;
    const auto known =
        std::ranges::find_if(reports.rbegin(), reports.rend(), [this](const auto &report) {
            return report.first <= m_now - reportAge;
        });
    return known == reports.rend() ? 0 : known->second;
}

bool PushSimulation::usable(std::size_t engine) const
{
    return m_engines[engine].downUntil <= m_now && !m_engines[engine].leaving;
}

std::size_t PushSimulation::choose()
{
    const std::size_t count = m_engines.size();
    if (m_spec.policy == Policy::RoundRobin) {
        while (!usable(m_turn % count))
            ++m_turn;
        return m_turn++ % count;
    }
    std::vector<std::size_t> candidates;
    for (std::size_t engine = 0; engine < count; ++engine) {
        if (usable(engine))
            candidates.push_back(engine);
    }
    std::ranges::shuffle(candidates, m_random);
    if (m_spec.policy == Policy::TwoChoices)
        candidates.resize(std::min<std::size_t>(2, candidates.size()));
    return *std::ranges::min_element(candidates, {},
                                     [this](std::size_t engine) { return reportedLoad(engine); });
}

void PushSimulation::arrive(std::size_t index)
{
    const Arrival &arrival = m_spec.arrivals[index];
    const std::size_t engine = choose();
    m_progress[index].engine = engine;
    m_prefill += arrival.promptTokens;
    m_engines[engine].model.submit({{1, index},
                                    arrival.promptTokens,
                                    arrival.outputTokens,
                                    arrival.prefix,
                                    arrival.prefixTokens});
    startStep(engine);
}

void PushSimulation::startStep(std::size_t engine)
{
    Engine &record = m_engines[engine];
    if (record.stepEnd == Duration::max() && !record.model.idle())
        record.stepEnd = m_now + record.model.beginStep();
}

void PushSimulation::hangUp(std::size_t index)
{
    Progress &progress = m_progress[index];
    if (progress.ended)
        return;
    progress.ended = true;
    m_served[index].refusal = "deadline_exceeded";
    m_wasted += m_spec.arrivals[index].promptTokens;
    m_engines[progress.engine].model.cancel({1, index});
}

void PushSimulation::step(std::size_t engine)
{
    Engine &record = m_engines[engine];
    record.stepEnd = Duration::max();
    for (const standin::EngineToken &token : record.model.finishStep()) {
        const auto index = static_cast<std::size_t>(token.id.sequence);
        Progress &progress = m_progress[index];
        if (progress.tokens++ == 0) {
            progress.first = m_now;
        } else if (m_spec.arrivals[index].tier == 0) {
            const auto gap = static_cast<std::size_t>(toMs(m_now - progress.last));
            ++m_gaps[std::min(gap, gapBins - 1)];
        }
        progress.last = m_now;
        if (!token.last)
            continue;
        progress.ended = true;
        Served &served = m_served[index];
        served.whole = true;
        served.firstToken = progress.first - m_spec.arrivals[index].at;
        if (progress.tokens > 1)
            served.meanGap = (progress.last - progress.first) / (progress.tokens - 1);
    }
    startStep(engine);
}

void PushSimulation::crash(std::size_t engine)
{
    Engine &record = m_engines[engine];
    record.downUntil = m_now + crashTime;
    record.stepEnd = Duration::max();
    record.model.clear();
    for (std::size_t index = 0; index < m_progress.size(); ++index) {
        Progress &progress = m_progress[index];
        const bool lost =
            m_spec.arrivals[index].at < m_now && progress.engine == engine && !progress.ended;
        if (!lost)
            continue;
        progress.ended = true;
        m_served[index].refusal = "upstream_failed";
        m_wasted += m_spec.arrivals[index].promptTokens;
    }
}

void PushSimulation::apply(const EngineEvent &event)
{
    const auto engine = static_cast<std::size_t>(event.engine);
    switch (event.kind) {
    case EngineEvent::Kind::Slow:
        m_engines[engine].model.setSlowdown(slowdown);
        return;
    case EngineEvent::Kind::Crash:
        return crash(engine);
    case EngineEvent::Kind::Leave:
        m_engines[engine].leaving = true;
        return;
    }
}

void PushSimulation::reportLoads()
{
    for (Engine &engine : m_engines) {
        engine.reports.emplace_back(m_now, engine.model.running());
        while (engine.reports.size() > 2
               && engine.reports[1].first <= m_now - reportAge - reportInterval)
            engine.reports.pop_front();
    }
    m_nextReport = m_now + reportInterval;
}

Duration PushSimulation::nextEngineTime() const
{
    return std::ranges::min_element(m_engines, {}, &Engine::stepEnd)->stepEnd;
}

void PushSimulation::advance(Duration until)
{
    while (true) {
        const Duration next = std::min(nextEngineTime(), m_nextReport);
        if (next > until)
            break;
        m_now = next;
        if (m_nextReport == next) {
            reportLoads();
            continue;
        }
        const auto engine = std::ranges::min_element(m_engines, {}, &Engine::stepEnd);
        step(static_cast<std::size_t>(engine - m_engines.begin()));
    }
    m_now = until;
}

std::vector<Served> PushSimulation::run(Duration length)
{
    std::size_t arrived = 0;
    std::size_t impatient = 0;
    std::size_t event = 0;
    const auto &arrivals = m_spec.arrivals;
    while (true) {
        const Duration arrival = arrived < arrivals.size() ? arrivals[arrived].at : length;
        const Duration hangUpAt =
            impatient < arrived ? arrivals[impatient].at + m_patience : length;
        const Duration eventAt = event < m_spec.events.size() ? m_spec.events[event].at : length;
        const Duration next = std::min({arrival, hangUpAt, eventAt});
        if (next >= length)
            break;
        advance(next);
        if (next == eventAt)
            apply(m_spec.events[event++]);
        else if (next == hangUpAt)
            hangUp(impatient++);
        else
            arrive(arrived++);
    }
    advance(length);
    return m_served;
}

RunReport PushSimulation::report() const
{
    RunReport report;
    for (const Engine &engine : m_engines)
        report.engineTokens.push_back(engine.model.generatedTokens());
    report.prefillTokens = m_prefill;
    report.wastedTokens = m_wasted;
    report.gapsTopTier = m_gaps;
    return report;
}

} // namespace tamarack::bench
