#include "support/FaultMatrix.h"

#include <algorithm>
#include <array>
#include <limits>

#include <spdlog/fmt/fmt.h>

namespace tamarack::harness {

namespace {

using std::chrono::seconds;

constexpr milliseconds longPause{2500};
constexpr int retries = 5;
constexpr milliseconds retryDelay{1500};
constexpr seconds cellTime{100};
constexpr seconds shortestTime{8};
constexpr seconds slice{3};

constexpr std::array faults{
    FaultRow{"entry killed", [](CoreHarness &h, int e, int) { h.killEntry(e, seconds(1)); }},
    FaultRow{"entry paused past its lease",
             [](CoreHarness &h, int e, int) { h.pauseEntry(e, longPause); }},
    FaultRow{"upstream process killed",
             [](CoreHarness &h, int, int g) { h.killGate(g, seconds(1)); }},
    FaultRow{"upstream process gone for good",
             [](CoreHarness &h, int, int g) { h.killGate(g, std::chrono::hours(1)); }},
    FaultRow{"upstream process paused past its lease",
             [](CoreHarness &h, int, int g) { h.pauseGate(g, longPause); }},
    FaultRow{"engine or service crashes",
             [](CoreHarness &h, int, int g) { h.crashUpstream(g, seconds(2)); }},
    FaultRow{"engine stalls 3 s",
             [](CoreHarness &h, int, int g) { h.stallUpstream(g, seconds(3)); }},
    FaultRow{"engine slows down tenfold",
             [](CoreHarness &h, int, int g) { h.slowUpstream(g, 10); }},
    FaultRow{"connection cut", [](CoreHarness &h, int e, int g) { h.cutLink(e, g); }},
    FaultRow{"connection silent", [](CoreHarness &h, int e, int g) { h.silenceLink(e, g); }},
    FaultRow{"entry and upstream parted 4 s",
             [](CoreHarness &h, int e, int g) { h.partition(e, g, seconds(4)); }},
    FaultRow{"object API down 3 s", [](CoreHarness &h, int, int) { h.storeDown(seconds(3)); }},
    FaultRow{"object API slow",
             [](CoreHarness &h, int, int) { h.storeSlow(milliseconds(400), seconds(5)); }},
    FaultRow{"object API loses answers",
             [](CoreHarness &h, int, int) { h.storeLosesAnswers(70, seconds(4)); }},
    FaultRow{"object API reads old",
             [](CoreHarness &h, int, int) { h.storeReadsStale(seconds(4)); }},
    FaultRow{"upstream marked to leave", [](CoreHarness &h, int, int g) { h.setLeaving(g, true); }},
    FaultRow{"host list says leaving",
             [](CoreHarness &h, int, int g) { h.setHostLeaving(g, true); }},
    FaultRow{"burst of requests",
             [](CoreHarness &h, int e, int) {
                 for (int i = 0; i < 150; ++i)
                     h.callModel((e + i) % 2, static_cast<TierRank>(i % 4), "ws",
                                 fmt::format("burst {}", i), 300, 20, seconds(20));
             }},
};

constexpr std::array steps{
    StepRow{"submitted", Step::Submitted},
    StepRow{"demand announced", Step::DemandSent},
    StepRow{"credit received", Step::CreditReceived},
    StepRow{"claim sent", Step::ClaimSent},
    StepRow{"claim answered", Step::ClaimAnswered},
    StepRow{"dispatch sent", Step::DispatchSent},
    StepRow{"dispatch arrived", Step::DispatchArrived},
    StepRow{"started at the upstream", Step::Started},
    StepRow{"first bytes", Step::FirstBytes},
    StepRow{"half answered", Step::HalfAnswered},
    StepRow{"upstream finished", Step::EngineEnded},
    StepRow{"end received", Step::EndArrived},
};

CellOutcome outcomeOf(const CallRecord &record)
{
    if (record.whole)
        return CellOutcome::Whole;
    if (record.failure)
        return errorAnswer(*record.failure).outcome == Outcome::NotRun ? CellOutcome::NotRun
                                                                       : CellOutcome::MayHaveRun;
    return CellOutcome::ConnectionLost;
}

/// The scenario of one cell: a busy small fleet, one call under test, faults at its steps.
class Cell
{
public:
    explicit Cell(const CellSpec &spec)
        : m_spec(spec)
        , m_harness(options(spec))
    {}

    CellResult run()
    {
        m_harness.onStep([this](std::size_t call, Step step, int gate) {
            if (call == m_tagged && step == m_spec.step.step)
                inject(gate);
        });
        m_harness.run(milliseconds(300));
        background();
        m_harness.run(milliseconds(200));
        m_tagged = submitTagged(0);
        m_latest = m_tagged;
        runUntilSettled();
        return result();
    }

private:
    static HarnessOptions options(const CellSpec &spec)
    {
        HarnessOptions options;
        options.seed = spec.seed;
        options.adjustGate = [&spec](GateOptions &gate) {
            // Few slots keep requests waiting, so that the early steps are really passed.
            gate.capacity = spec.step.step <= Step::CreditReceived ? 3 : 32;
            gate.spareCredits = spec.step.step > Step::CreditReceived;
        };
        return options;
    }

    void background()
    {
        for (int i = 0; i < 24; ++i)
            m_harness.callModel(i % 2, static_cast<TierRank>(i % 4), "ws",
                                fmt::format("background {}", i), 200, 30);
        for (int i = 0; i < 4; ++i)
            m_harness.callService(i % 2, fmt::format("bg{}", i), "x");
    }

    /// Runs on for a while after the last answer, so that late messages are seen as well.
    void runUntilSettled()
    {
        m_harness.run(shortestTime);
        for (Duration spent = shortestTime; spent < cellTime && !settled(); spent += slice)
            m_harness.run(slice);
        m_harness.run(slice);
    }

    bool settled() const
    {
        return m_retriesDone && std::ranges::all_of(m_harness.calls(), &CallRecord::ended);
    }

    bool keyed() const { return m_spec.kind == CallKind::KeyedService; }

    std::size_t submitTagged(int entry)
    {
        const std::size_t call =
            keyed() ? m_harness.callService(entry, "tagged", "body", seconds(10))
                    : m_harness.callModel(entry, 0, "ws", "tagged body", 400, 40, seconds(20));
        m_retriesDone = !keyed();
        if (keyed())
            m_harness.after(retryDelay, [this, call] { retryIfUnsettled(call); });
        return call;
    }

    /// The caller asks again at the other entry until it has the answer or is told it is gone.
    void retryIfUnsettled(std::size_t call)
    {
        const CallRecord &record = m_harness.calls()[call];
        if (!record.ended()) {
            m_harness.after(retryDelay, [this, call] { retryIfUnsettled(call); });
            return;
        }
        const bool final = record.whole || record.failure == ErrorKind::AnswerGone;
        if (final || m_retries++ == retries) {
            m_retriesDone = true;
            return;
        }
        m_latest = submitTagged(m_retries % 2);
    }

    void inject(int gate)
    {
        const int target = gateUnderTest(gate);
        m_reached = true;
        m_spec.first.inject(m_harness, 0, target);
        if (m_spec.second)
            m_harness.after(m_spec.between,
                            [this, target] { m_spec.second->inject(m_harness, 0, target); });
    }

    int gateUnderTest(int gate) const
    {
        const bool unknown = m_spec.step.step < Step::DispatchSent;
        if (!unknown)
            return gate;
        return keyed() ? m_harness.gateCount() - 1 : 0;
    }

    CellResult result()
    {
        m_harness.checkAtRest();
        CellResult result;
        result.violations = m_harness.violations();
        if (!m_reached)
            return result;
        result.outcome = outcomeOf(m_harness.calls()[m_tagged]);
        result.afterRetries = outcomeOf(m_harness.calls()[m_latest]);
        return result;
    }

    CellSpec m_spec;
    CoreHarness m_harness;
    std::size_t m_tagged = std::numeric_limits<std::size_t>::max();
    std::size_t m_latest = 0;
    int m_retries = 0;
    bool m_retriesDone = false;
    bool m_reached = false;
};

} // namespace

std::span<const FaultRow> faultRows()
{
    return faults;
}

std::span<const StepRow> stepRows()
{
    return steps;
}

std::string_view outcomeWord(CellOutcome outcome)
{
    switch (outcome) {
    case CellOutcome::Whole:
        return "whole";
    case CellOutcome::NotRun:
        return "not run";
    case CellOutcome::MayHaveRun:
        return "may have run";
    case CellOutcome::ConnectionLost:
        return "connection lost";
    case CellOutcome::NotReached:
        return "-";
    }
    return "-";
}

CellResult runCell(const CellSpec &spec)
{
    return Cell(spec).run();
}

} // namespace tamarack::harness
