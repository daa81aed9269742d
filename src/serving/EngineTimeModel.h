#pragma once

#include "base/Time.h"

#include <cstdint>

namespace tamarack {

/// Predicts the times of a stream at the engines of one service: to the first token, a fixed part
/// and a part for each prompt token ahead of it and of its own; then a part for each event. All
/// times the engine's own factor.
///
/// Load: prompts and answers a hundredfold apart in length on engines of unlike speed. A long
/// prompt meets its objective, and a long answer its deadline, on a fast engine only.
class EngineTimeModel
{
public:
    /// Time to the first token at an engine of factor 1.
    Duration nominal(std::uint32_t tokens) const;
    Duration predict(double factor, std::uint32_t tokens) const;

    /// Time that the engine takes for the later events of a stream.
    Duration predictEvents(double factor, std::uint32_t events) const;

    /// Learns from a first token that took `took`; returns the engine's new factor.
    double learn(double factor, std::uint32_t tokens, Duration took);
    /// Learns from a whole stream whose later events took `took`.
    void learnEvents(double factor, std::uint32_t events, Duration took);

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
    double m_msPerEvent = initialMsPerEvent;

    /// Start values: a large engine that computes some 80 prompt tokens a millisecond.
    static constexpr double initialFixedMs = 90;
    static constexpr double initialMsPerToken = 0.012;
    static constexpr double initialMsPerEvent = 25;
};

} // namespace tamarack
