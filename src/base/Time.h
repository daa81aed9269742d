#pragma once

#include <chrono>
#include <cstdint>

namespace tamarack {

/// Monotonic time. Cores receive it as an argument and never read a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

/// Whole milliseconds of a duration, negative values kept.
inline std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// Milliseconds with their fraction.
inline double toFractionalMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace tamarack
