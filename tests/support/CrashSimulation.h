#pragma once

#include "serving/PartQuarantine.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace tamarack::harness {

struct CrashSimulationOptions
{
    std::size_t entries = 4;
    std::size_t upstreams = 12;
    double soundPerSecond = 100;
    /// Requests with the crashing part; 0: none.
    double crashingPerSecond = 1;
    std::size_t firstParts = 20;
    /// Parts between the first and the last one that sound requests share.
    std::size_t middleParts = 60;
    /// Interval of the messages between two entries.
    milliseconds messageInterval{50};
    double messageLoss = 0.05;
    /// Upstreams crash together, all of them in one case of five, with this mean interval in
    /// seconds; 0: never.
    double commonCrashInterval = 0;
    /// Entries restart, or lose all messages for some seconds.
    bool disturbsEntries = false;
    /// A part that sound requests used before crashes upstreams from the second `crashesFrom` on.
    bool crashesKnownPart = false;
    /// Seconds at which all entries restart together and lose what they know.
    std::vector<int> commonRestarts;
    int seconds = 60;
};

struct CrashSimulationResult
{
    std::size_t crashes = 0;
    /// Crashing requests that an undisturbed entry sent later than 3 s after the fifth crash.
    std::size_t lateCrashingSends = 0;
    /// Sound requests with the first part of the crashing ones, from 6 s after the fifth crash on.
    std::size_t sound = 0;
    std::size_t soundRefused = 0;
    /// Sound requests refused at any time, of all.
    std::size_t allSound = 0;
    std::size_t allSoundRefused = 0;
};

/// Plays requests, crashes and messages between entries in virtual time around real quarantines.
class CrashSimulation
{
public:
    CrashSimulation(const CrashSimulationOptions &options, std::uint64_t seed);

    CrashSimulationResult run();

private:
    struct Request
    {
        std::vector<PromptPart> prompt;
        std::size_t entry = 0;
        bool crashes = false;
        int attempts = 1;
        bool isTrial = false;
    };
    struct Upstream
    {
        UpstreamKey key = 0;
        bool up = true;
        std::map<std::uint64_t, Request> running;
    };
    struct Entry
    {
        std::unique_ptr<PartQuarantine> quarantine;
        Incarnation incarnation = 0;
        TimePoint disturbedUntil{};
    };

    void restart(Entry &entry);
    void schedule(Duration after, std::function<void()> action);
    double uniform(double from, double to);
    Duration randomTime(milliseconds from, milliseconds to);
    void arrivals(double perSecond, bool crashing);
    Request makeRequest(bool crashing);
    void send(Request request);
    void end(std::size_t upstream, std::uint64_t number);
    void crash(std::size_t upstream);
    void reportCrash(std::size_t entry, const std::vector<Request> &broken, UpstreamKey key,
                     TimePoint at);
    void exchange(std::size_t entry);
    void disturbEntry();
    void crashTogether();
    bool isDisturbed(std::size_t entry) const { return m_now < m_entries[entry].disturbedUntil; }

    CrashSimulationOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now;
    TimePoint m_end;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Entry> m_entries;
    std::vector<Upstream> m_upstreams;
    std::uint64_t m_lastNumber = 0;
    std::vector<TimePoint> m_crashTimes;
    CrashSimulationResult m_result;
};

} // namespace tamarack::harness
