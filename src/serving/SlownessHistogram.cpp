#include "serving/SlownessHistogram.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

/// Decay of the weights with each measurement; about 1000 of them count.
constexpr double decay = 0.999;
/// Weight below which a quantile says nothing.
constexpr double minWeight = 50;

} // namespace

std::size_t SlownessHistogram::classOf(double ratio)
{
    const double octave = std::log2(ratio) - lowestOctave;
    const double last = static_cast<double>(octaves * classesPerOctave - 1);
    return static_cast<std::size_t>(std::clamp(octave * classesPerOctave, 0.0, last));
}

double SlownessHistogram::upperRatio(std::size_t index)
{
    return std::exp2(static_cast<double>(index + 1) / classesPerOctave + lowestOctave);
}

void SlownessHistogram::add(Duration predicted, Duration took)
{
    if (predicted <= Duration::zero() || took <= Duration::zero())
        return;
    std::ranges::transform(m_weights, m_weights.begin(), [](double each) { return each * decay; });
    m_total = m_total * decay + 1;
    m_weights[classOf(toFractionalMs(took) / toFractionalMs(predicted))] += 1;
}

std::optional<double> SlownessHistogram::exceededBy(double share) const
{
    if (m_total < minWeight)
        return std::nullopt;
    double above = 0;
    for (std::size_t index = m_weights.size(); index-- > 0;) {
        above += m_weights[index];
        if (above > share * m_total)
            return upperRatio(index);
    }
    return upperRatio(0);
}

} // namespace tamarack
