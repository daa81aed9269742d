#pragma once

#include "support/CoreHarness.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::harness {

/// What the request under test is.
enum class CallKind : std::uint8_t { Stream, KeyedService };

/// One fault of the matrix. `inject` brings it about around the request under test.
struct FaultRow
{
    std::string_view name;
    void (*inject)(CoreHarness &harness, int entry, int gate) = nullptr;
};

struct StepRow
{
    std::string_view name;
    Step step;
};

std::span<const FaultRow> faultRows();
std::span<const StepRow> stepRows();

/// A cell: up to two faults at one step.
struct CellSpec
{
    CallKind kind = CallKind::Stream;
    StepRow step;
    FaultRow first;
    std::optional<FaultRow> second;
    Duration between = milliseconds(150);
    std::uint64_t seed = 1;
};

/// How the cell ended for the caller under test.
enum class CellOutcome : std::uint8_t { Whole, NotRun, MayHaveRun, ConnectionLost, NotReached };

struct CellResult
{
    CellOutcome outcome = CellOutcome::NotReached;
    /// For keyed calls: the caller retried until it had the answer or the final truth.
    CellOutcome afterRetries = CellOutcome::NotReached;
    std::vector<std::string> violations;
};

std::string_view outcomeWord(CellOutcome outcome);

CellResult runCell(const CellSpec &spec);

} // namespace tamarack::harness
