#include "serving/EngineTimeModel.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Decay of the sample weights per new sample; about 500 samples are effective.
constexpr double sampleDecay = 0.998;
/// Effective samples required before the fit replaces the initial values.
constexpr double minSamples = 30;
/// Smoothing weight of a new sample in the factor of its engine.
constexpr double factorSmoothing = 0.15;
constexpr double minFactor = 0.1;
constexpr double maxFactor = 20;
/// Samples are clamped to this multiple of the prediction, so that a pause of the local host is not
/// attributed to the engine.
constexpr double maxSampleRatio = 6;

/// Smoothing weight of a new sample in the time per event.
constexpr double eventSmoothing = 0.05;

Duration fromMilliseconds(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

double smoothFactor(double factor, double sample)
{
    const double bounded = std::clamp(sample, minFactor, factor * maxSampleRatio);
    return std::clamp(factor + factorSmoothing * (bounded - factor), minFactor, maxFactor);
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

Duration EngineTimeModel::predictPause(double factor, std::uint32_t tokens) const
{
    return fromMilliseconds(factor * (m_msPerEvent + m_msPerToken * tokens));
}

double EngineTimeModel::learn(double factor, std::uint32_t tokens, Duration elapsed)
{
    const double predicted = toFractionalMs(nominal(tokens));
    const double ratio = toFractionalMs(elapsed) / predicted;
    const double newFactor = smoothFactor(factor, ratio);
    const double time = std::min(toFractionalMs(elapsed) / factor, predicted * maxSampleRatio);
    m_sums.weight = m_sums.weight * sampleDecay + 1;
    m_sums.tokens = m_sums.tokens * sampleDecay + tokens;
    m_sums.squares = m_sums.squares * sampleDecay + static_cast<double>(tokens) * tokens;
    m_sums.time = m_sums.time * sampleDecay + time;
    m_sums.product = m_sums.product * sampleDecay + time * tokens;
    fit();
    return newFactor;
}

Duration EngineTimeModel::predictEvents(double factor, std::uint32_t events) const
{
    return fromMilliseconds(factor * m_msPerEvent * events);
}

double EngineTimeModel::learnEvents(double factor, std::uint32_t events, Duration elapsed)
{
    const double perEvent = toFractionalMs(elapsed) / events;
    const double newFactor = smoothFactor(factor, perEvent / m_msPerEvent);
    const double sample = std::min(perEvent / factor, m_msPerEvent * maxSampleRatio);
    m_msPerEvent += eventSmoothing * (sample - m_msPerEvent);
    return newFactor;
}

void EngineTimeModel::fit()
{
    const double spread = m_sums.weight * m_sums.squares - m_sums.tokens * m_sums.tokens;
    if (m_sums.weight < minSamples || spread <= 0)
        return;
    const double slope = (m_sums.weight * m_sums.product - m_sums.tokens * m_sums.time) / spread;
    const double fixed = (m_sums.time - slope * m_sums.tokens) / m_sums.weight;
    if (slope <= 0 || fixed <= 0)
        return;
    m_msPerToken = slope;
    m_fixedMs = fixed;
}

} // namespace tamarack
