#pragma once

#include "base/Time.h"

#include <cstdint>

namespace tamarack {

/// Predicts the time to the first token of a prompt at the engines of one service: a fixed part
/// and a part for each prompt token ahead of it and of its own, times the engine's own factor.
///
/// Load: prompts a hundredfold apart in length on engines of unlike speed. A long prompt meets
/// its objective on a fast engine only, and delays what is sent after it.
class FirstTokenModel
{
public:
    /// Time to the first token at an engine of factor 1.
    Duration nominal(std::uint32_t tokens) const;
    Duration predict(double factor, std::uint32_t tokens) const;

    /// Learns from a first token that took `took`; returns the engine's new factor.
    double learn(double factor, std::uint32_t tokens, Duration took);

private:
    /// Sums of a least-squares fit of time over tokens, older samples fading.
    struct Sums
    {
        double weight = 0;
        double tokens = 0;
        double squares = 0;
        double time = 0;
        double product = 0;
    };

    void fit();

    Sums m_sums;
    double m_fixedMs = initialFixedMs;
    double m_msPerToken = initialMsPerToken;

    /// Start values: a large engine that computes some 80 prompt tokens a millisecond.
    static constexpr double initialFixedMs = 90;
    static constexpr double initialMsPerToken = 0.012;
};

} // namespace tamarack
