#pragma once

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace tamarack {

/// Distribution of measured times relative to their predictions, with decaying weights.
///
/// Bounded: the ratios are counted in classes of a quarter of an octave, from 1/8 to 512.
class SlownessHistogram
{
public:
    void add(Duration predicted, Duration took);
    /// The ratio that the fraction `share` of the measurements exceeds; none while there are too
    /// few.
    std::optional<double> exceededBy(double share) const;

private:
    static constexpr std::size_t classesPerOctave = 4;
    static constexpr int lowestOctave = -3;
    static constexpr std::size_t octaves = 12;

    static std::size_t classOf(double ratio);
    /// Upper end of the class.
    static double upperRatio(std::size_t index);

    std::array<double, octaves * classesPerOctave> m_weights{};
    double m_total = 0;
};

} // namespace tamarack
