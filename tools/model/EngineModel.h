#pragma once

#include "base/RequestId.h"
#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack::standin {

/// Speed and memory of one hardware generation.
struct EngineSpeed
{
    /// Time of one decoding step with an empty batch.
    Duration stepBase = std::chrono::microseconds(8000);
    /// Added to a step for each running sequence.
    Duration stepPerSequence = std::chrono::microseconds(400);
    /// Added to a step for each prompt token computed in it.
    Duration perPromptToken = std::chrono::microseconds(60);
    /// Prompt tokens computed in one step at most.
    std::uint32_t prefillChunk = 512;
    /// Bound on the cached prompt prefixes, in tokens.
    std::uint32_t cacheTokens = 60'000;
    int maxBatch = 256;
};

/// Speeds of three hardware generations, slowest first.
EngineSpeed engineSpeed(int generation);

/// A request as the engine sees it.
struct EngineJob
{
    RequestId id;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint64_t prefix = 0;
    /// Leading prompt tokens shared by all prompts with this prefix.
    std::uint32_t prefixTokens = 0;
};

/// One token of one request, or its end.
struct EngineToken
{
    RequestId id;
    std::uint32_t index = 0;
    bool last = false;
};

/// Continuous batching in steps of virtual time: admits requests as they come, computes prompts
/// in chunks beside decoding, caches prompt prefixes in limited memory.
class EngineModel
{
public:
    explicit EngineModel(EngineSpeed speed)
        : m_speed(speed)
    {}

    void submit(const EngineJob &job);
    /// False when the request is not running.
    bool cancel(RequestId id);
    bool idle() const { return m_jobs.empty(); }
    std::size_t running() const { return m_jobs.size(); }
    void clear();

    /// Multiplies all times, for an engine that slows down.
    void setSlowdown(double factor) { m_slowdown = factor; }

    /// Plans one step and returns how long it takes. Call `finishStep` after that time.
    Duration beginStep();
    std::vector<EngineToken> finishStep();

    std::uint64_t computedPromptTokens() const { return m_computedPromptTokens; }
    std::uint64_t cachedPromptTokens() const { return m_cachedPromptTokens; }
    std::uint64_t generatedTokens() const { return m_generatedTokens; }

private:
    struct Job
    {
        EngineJob job;
        std::uint32_t promptLeft = 0;
        std::uint32_t produced = 0;
    };

    bool useCache(const EngineJob &job);
    void addToCache(const EngineJob &job);

    EngineSpeed m_speed;
    double m_slowdown = 1;
    std::list<Job> m_jobs;
    std::vector<RequestId> m_decoding;
    std::vector<RequestId> m_prefilled;
    std::list<std::pair<std::uint64_t, std::uint32_t>> m_cache;
    std::uint64_t m_cachedTokens = 0;
    std::uint64_t m_computedPromptTokens = 0;
    std::uint64_t m_cachedPromptTokens = 0;
    std::uint64_t m_generatedTokens = 0;
};

} // namespace tamarack::standin
