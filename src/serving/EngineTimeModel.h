#pragma once

#include "base/Time.h"

#include <cstdint>

namespace tamarack {

/// Predicts the latencies of a stream at the engines of one service. The time to the first token
/// is a constant plus a term proportional to the prompt tokens queued ahead and the request's own;
/// each later event adds a constant. Both are scaled by a slowness factor of the engine.
///
/// Prompts and responses differ in length by a factor of 100, and engines differ in speed: a long
/// prompt meets its objective, and a long response its deadline, on a fast engine only.
class EngineTimeModel
{
public:
    /// Time to the first token at an engine with factor 1.
    Duration nominal(std::uint32_t tokens) const;
    Duration predict(double factor, std::uint32_t tokens) const;

    /// Time from the first token of a stream through `events` further events.
    Duration predictEvents(double factor, std::uint32_t events) const;

    /// Interval between two events of a running stream while the engine processes `tokens` prompt
    /// tokens.
    Duration predictPause(double factor, std::uint32_t tokens) const;

    /// Updates the model from an observed time to the first token; returns the engine's new factor.
    double learn(double factor, std::uint32_t tokens, Duration elapsed);
    /// Updates the model from a stream whose last `events` events took `elapsed`; returns the
    /// engine's new factor.
    double learnEvents(double factor, std::uint32_t events, Duration elapsed);

    /// Intervals over fewer events give too noisy an estimate of the pace.
    static constexpr std::uint32_t minPaceEvents = 4;

private:
    /// Sums for a least-squares fit of time over tokens, with exponentially decaying weights.
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

    /// Initial values: a large engine that processes about 80 prompt tokens per millisecond.
    static constexpr double initialFixedMs = 90;
    static constexpr double initialMsPerToken = 0.012;
    static constexpr double initialMsPerEvent = 25;
};

} // namespace tamarack
