#pragma once

#include "PolicyRun.h"
#include "model/EngineModel.h"

#include <deque>
#include <random>

namespace tamarack::bench {

/// Baselines that send each request to an engine the moment it arrives. Engines admit requests as
/// they come; a caller hangs up when its patience ends.
class PushSimulation
{
public:
    PushSimulation(const RunSpec &spec, Duration patience);

    std::vector<Served> run(Duration length);
    /// Engine figures of the run; the tiers are empty.
    RunReport report() const;

private:
    struct Engine
    {
        standin::EngineModel model;
        Duration stepEnd = Duration::max();
        Duration downUntil{};
        bool leaving = false;
        std::deque<std::pair<Duration, std::size_t>> reports;
    };

    struct Progress
    {
        std::size_t engine = 0;
        int tokens = 0;
        Duration first{};
        Duration last{};
        bool ended = false;
    };

    std::size_t choose();
    std::size_t reportedLoad(std::size_t engine) const;
    bool usable(std::size_t engine) const;
    void arrive(std::size_t index);
    void hangUp(std::size_t index);
    void step(std::size_t engine);
    void startStep(std::size_t engine);
    void apply(const EngineEvent &event);
    void crash(std::size_t engine);
    void reportLoads();
    Duration nextEngineTime() const;
    void advance(Duration until);

    const RunSpec &m_spec;
    Duration m_patience;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::vector<Progress> m_progress;
    std::vector<Served> m_served;
    std::vector<std::uint64_t> m_gaps;
    std::size_t m_turn = 0;
    std::uint64_t m_prefill = 0;
    std::uint64_t m_wasted = 0;
    Duration m_now{};
    Duration m_nextReport{};
};

} // namespace tamarack::bench
