#pragma once

#include "base/Time.h"

#include <cstdint>

namespace tamarack {

/// Estimates the time to first token of an engine from observed latencies, and counts the prompt
/// tokens awaiting prefill there. The gate bounds these, because the engine does not order its own
/// queue by tier.
class PrefillEstimator
{
public:
    void started(std::uint32_t promptTokens);
    /// `tokensAhead` is the number of outstanding prompt tokens when the request started, including
    /// its own.
    void firstToken(std::uint32_t promptTokens, std::uint64_t tokensAhead, Duration latency);
    void abandoned(std::uint32_t promptTokens);

    std::uint64_t outstandingTokens() const { return m_outstanding; }

    /// Expected time to first token of a prompt of `promptTokens` that starts now.
    Duration expected(std::uint32_t promptTokens) const;

    /// Estimated prefill time per prompt token; zero before the first observation.
    Duration perToken() const;

private:
    std::uint64_t m_outstanding = 0;
    double m_nanosecondsPerToken = 0;
};

} // namespace tamarack
