#pragma once

#include "base/Time.h"

#include <cstdint>

namespace tamarack {

/// Learns how long an engine takes to its first token, and bounds the prompt tokens that may
/// wait for prefill at the engine, where no tier order holds.
class PrefillEstimator
{
public:
    void started(std::uint32_t promptTokens);
    /// `tokensAhead` is the outstanding total, own prompt included, when the request started.
    void firstToken(std::uint32_t promptTokens, std::uint64_t tokensAhead, Duration latency);
    void abandoned(std::uint32_t promptTokens);

    std::uint64_t outstandingTokens() const { return m_outstanding; }

    /// Expected time to the first token if a prompt of that size were started now.
    Duration expected(std::uint32_t promptTokens) const;

    /// Time for one prompt token; zero before the first observation.
    Duration perToken() const;

private:
    std::uint64_t m_outstanding = 0;
    double m_nanosecondsPerToken = 0;
};

} // namespace tamarack
