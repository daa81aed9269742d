#include "gate/PrefillEstimator.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr double sampleSmoothing = 0.2;
constexpr std::uint64_t smallestSampleTokens = 32;

} // namespace

void PrefillEstimator::started(std::uint32_t promptTokens)
{
    m_outstanding += promptTokens;
}

void PrefillEstimator::firstToken(std::uint32_t promptTokens, std::uint64_t tokensAhead,
                                  Duration latency)
{
    abandoned(promptTokens);
    const auto tokens = std::max(tokensAhead, smallestSampleTokens);
    const double sample = static_cast<double>(latency.count()) / static_cast<double>(tokens);
    if (m_nanosecondsPerToken == 0)
        m_nanosecondsPerToken = sample;
    else
        m_nanosecondsPerToken += sampleSmoothing * (sample - m_nanosecondsPerToken);
}

void PrefillEstimator::abandoned(std::uint32_t promptTokens)
{
    m_outstanding -= std::min<std::uint64_t>(m_outstanding, promptTokens);
}

Duration PrefillEstimator::expected(std::uint32_t promptTokens) const
{
    const auto tokens = static_cast<double>(m_outstanding + promptTokens);
    return Duration(static_cast<Duration::rep>(m_nanosecondsPerToken * tokens));
}

Duration PrefillEstimator::perToken() const
{
    return Duration(static_cast<Duration::rep>(m_nanosecondsPerToken));
}

} // namespace tamarack
