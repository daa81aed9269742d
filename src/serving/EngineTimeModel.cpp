#include "serving/EngineTimeModel.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Weight that a sample keeps when the next one comes: some 500 samples count.
constexpr double fading = 0.998;
/// Samples before the fit replaces the start values.
constexpr double fewestSamples = 30;
/// Share of a new sample in the factor of its engine.
constexpr double factorShare = 0.15;
constexpr double lowestFactor = 0.1;
constexpr double highestFactor = 20;
/// One sample counts at most this many times the prediction: a pause of this host is no slow
/// engine.
constexpr double largestRatio = 6;

/// Share of a new stream in the time of an event; shorter streams tell too little.
constexpr double eventShare = 0.05;
constexpr std::uint32_t fewestEvents = 4;

Duration fromMilliseconds(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

Duration EngineTimeModel::nominal(std::uint32_t tokens) const
{
    return fromMilliseconds(m_fixedMs + m_msPerToken * tokens);
}

Duration EngineTimeModel::predict(double factor, std::uint32_t tokens) const
{
    return fromMilliseconds(factor * (m_fixedMs + m_msPerToken * tokens));
}

double EngineTimeModel::learn(double factor, std::uint32_t tokens, Duration took)
{
    const double predicted = toFractionalMs(nominal(tokens));
    const double ratio = toFractionalMs(took) / predicted;
    const double bounded = std::clamp(ratio, lowestFactor, factor * largestRatio);
    const double newFactor =
        std::clamp(factor + factorShare * (bounded - factor), lowestFactor, highestFactor);
    const double time = std::min(toFractionalMs(took) / factor, predicted * largestRatio);
    m_sums.weight = m_sums.weight * fading + 1;
    m_sums.tokens = m_sums.tokens * fading + tokens;
    m_sums.squares = m_sums.squares * fading + static_cast<double>(tokens) * tokens;
    m_sums.time = m_sums.time * fading + time;
    m_sums.product = m_sums.product * fading + time * tokens;
    fit();
    return newFactor;
}

Duration EngineTimeModel::predictEvents(double factor, std::uint32_t events) const
{
    return fromMilliseconds(factor * m_msPerEvent * events);
}

void EngineTimeModel::learnEvents(double factor, std::uint32_t events, Duration took)
{
    if (events < fewestEvents)
        return;
    const double sample = toFractionalMs(took) / events / factor;
    m_msPerEvent += eventShare * (std::min(sample, m_msPerEvent * largestRatio) - m_msPerEvent);
}

void EngineTimeModel::fit()
{
    const double spread = m_sums.weight * m_sums.squares - m_sums.tokens * m_sums.tokens;
    if (m_sums.weight < fewestSamples || spread <= 0)
        return;
    const double slope = (m_sums.weight * m_sums.product - m_sums.tokens * m_sums.time) / spread;
    const double fixed = (m_sums.time - slope * m_sums.tokens) / m_sums.weight;
    if (slope <= 0 || fixed <= 0)
        return;
    m_msPerToken = slope;
    m_fixedMs = fixed;
}

} // namespace tamarack
