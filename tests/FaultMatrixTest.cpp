#include "support/FaultMatrix.h"

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <map>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <spdlog/fmt/fmt.h>

using namespace tamarack;
using namespace tamarack::harness;

namespace {

struct Cell
{
    CellSpec spec;
    CellResult result;
};

/// Runs all cells on all processors; each cell is deterministic by itself.
void runAll(std::vector<Cell> &cells)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> threads;
    const auto count = std::max(1U, std::thread::hardware_concurrency());
    for (unsigned i = 0; i < count; ++i) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < cells.size(); index = next++)
                cells[index].result = runCell(cells[index].spec);
        });
    }
}

std::string describe(const CellSpec &spec)
{
    return fmt::format("{} at '{}': {}{}", spec.kind == CallKind::Stream ? "stream" : "keyed",
                       spec.step.name, spec.first.name,
                       spec.second ? fmt::format(" then {}", spec.second->name) : "");
}

std::vector<Cell> singleCells()
{
    std::vector<Cell> cells;
    for (const CallKind kind : {CallKind::Stream, CallKind::KeyedService}) {
        for (const FaultRow &fault : faultRows()) {
            for (const StepRow &step : stepRows())
                cells.push_back({{kind, step, fault, std::nullopt, milliseconds(150), 1}, {}});
        }
    }
    return cells;
}

/// Every ordered pair of faults, the same fault twice included, at every step.
std::vector<Cell> pairCells()
{
    std::vector<Cell> cells;
    for (const CallKind kind : {CallKind::Stream, CallKind::KeyedService}) {
        for (const FaultRow &first : faultRows()) {
            for (const FaultRow &second : faultRows()) {
                for (const StepRow &step : stepRows())
                    cells.push_back({{kind, step, first, second, milliseconds(150), 2}, {}});
            }
        }
    }
    return cells;
}

std::size_t reportViolations(const std::vector<Cell> &cells)
{
    std::size_t failed = 0;
    for (const Cell &cell : cells) {
        if (cell.result.violations.empty())
            continue;
        ++failed;
        if (failed <= 20)
            BOOST_TEST_MESSAGE(describe(cell.spec) << ": " << cell.result.violations.front());
    }
    return failed;
}

std::size_t countOutcome(const std::vector<Cell> &cells, CellOutcome outcome)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        cells, [outcome](const Cell &cell) { return cell.result.outcome == outcome; }));
}

void printTable(std::ostream &out, const std::vector<Cell> &cells, CallKind kind)
{
    out << "| fault |";
    for (const StepRow &step : stepRows())
        out << ' ' << step.name << " |";
    out << "\n|---|";
    for (std::size_t i = 0; i < stepRows().size(); ++i)
        out << "---|";
    for (const FaultRow &fault : faultRows()) {
        out << "\n| " << fault.name << " |";
        for (const Cell &cell : cells) {
            if (cell.spec.kind != kind || cell.spec.first.name != fault.name)
                continue;
            const bool failed = !cell.result.violations.empty();
            out << ' ' << (failed ? "**FAILED**" : outcomeWord(cell.result.outcome));
            const bool retried =
                kind == CallKind::KeyedService && cell.result.outcome != cell.result.afterRetries;
            if (retried)
                out << ", then " << outcomeWord(cell.result.afterRetries);
            out << " |";
        }
    }
    out << "\n\n";
}

void printSummary(std::ostream &out, std::string_view name, const std::vector<Cell> &cells)
{
    const auto failed = std::ranges::count_if(
        cells, [](const Cell &cell) { return !cell.result.violations.empty(); });
    out << fmt::format("| {} | {} | {} | {} | {} | {} | {} | {} | {} |\n", name, cells.size(),
                       cells.size() - static_cast<std::size_t>(failed), failed,
                       countOutcome(cells, CellOutcome::Whole),
                       countOutcome(cells, CellOutcome::NotRun),
                       countOutcome(cells, CellOutcome::MayHaveRun),
                       countOutcome(cells, CellOutcome::ConnectionLost),
                       countOutcome(cells, CellOutcome::NotReached));
}

void printPage(const std::vector<Cell> &singles, const std::vector<Cell> &pairs)
{
    const char *path = std::getenv("TAMARACK_FAULTS_PAGE");
    if (!path)
        return;
    std::ofstream out(path);
    out << "# Fault matrix\n\n"
           "Printed by the test run `TAMARACK_FAULTS_PAGE=docs/FAULTS.md build/unit-tests "
           "--run_test=FaultMatrixTest`.\nEvery cell is a busy fleet of two entries, three engines "
           "of different speed and one service, on a\nscripted clock and network; the fault comes "
           "when the request under test reaches the step. All\ninvariants of "
           "`tests/support/CoreHarness.cpp` are checked at each event. A dash: the request did "
           "not\npass that step (only keyed calls claim; a service answers in one piece).\n\n"
           "| cells | number | passed | failed | whole | not run | may have run | connection lost "
           "| step not passed |\n|---|---|---|---|---|---|---|---|---|\n";
    printSummary(out, "one fault", singles);
    printSummary(out, "two faults, 150 ms apart", pairs);
    out << "\n## Streamed completion, one fault\n\n";
    printTable(out, singles, CallKind::Stream);
    out << "## Keyed, non-idempotent service call, one fault\n\nThe caller asks again at the "
           "other entry with the same key; the second word is how that ended.\n\n";
    printTable(out, singles, CallKind::KeyedService);
}

} // namespace

BOOST_AUTO_TEST_SUITE(FaultMatrixTest)

BOOST_AUTO_TEST_CASE(everyFaultAtEveryStepAndInPairs)
{
    auto singles = singleCells();
    runAll(singles);
    auto pairs = pairCells();
    runAll(pairs);
    printPage(singles, pairs);
    BOOST_TEST(reportViolations(singles) == 0U);
    BOOST_TEST(reportViolations(pairs) == 0U);
    // The matrix must reach its steps, or it proves nothing.
    BOOST_TEST(countOutcome(singles, CellOutcome::NotReached) < singles.size() / 4);
}

BOOST_AUTO_TEST_SUITE_END()
