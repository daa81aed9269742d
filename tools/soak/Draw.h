#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace tamarack::soak {

/// Random numbers of a seed. Distributions of the standard library differ between its versions; a
/// remainder does not.
class Draw
{
public:
    explicit Draw(std::uint64_t seed)
        : m_random(seed)
    {}

    std::size_t below(std::size_t bound) { return m_random() % bound; }
    milliseconds between(milliseconds from, milliseconds to)
    {
        return from + milliseconds(below((to - from).count()));
    }

private:
    std::mt19937_64 m_random;
};

} // namespace tamarack::soak
