#pragma once

#include "base/Time.h"

#include <chrono>
#include <concepts>
#include <thread>

namespace tamarack::harness {

/// Whether the condition holds within the bound; looks each 10 ms.
template <std::predicate Condition>
bool eventually(Condition condition, milliseconds bound = milliseconds(5000))
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
}

} // namespace tamarack::harness
