#include "model/EngineModel.h"

#include <algorithm>

namespace tamarack::standin {

EngineSpeed engineSpeed(int generation)
{
    using std::chrono::microseconds;
    switch (generation) {
    case 1:
        return {microseconds(14'000), microseconds(900), microseconds(110), 64, 40'000, 128};
    case 2:
        return {microseconds(9'000), microseconds(450), microseconds(55), 192, 60'000, 256};
    default:
        return {microseconds(6'000), microseconds(220), microseconds(25), 512, 120'000, 512};
    }
}

void EngineModel::submit(const EngineJob &job)
{
    Job added{job, std::max<std::uint32_t>(job.promptTokens, 1), 0};
    if (useCache(job)) {
        const auto cached = std::min(job.prefixTokens, added.promptLeft - 1);
        added.promptLeft -= cached;
        m_cachedPromptTokens += cached;
    }
    m_jobs.push_back(added);
}

bool EngineModel::cancel(RequestId id)
{
    return std::erase_if(m_jobs, [id](const Job &job) { return job.job.id == id; }) > 0;
}

void EngineModel::clear()
{
    m_jobs.clear();
    m_cache.clear();
    m_cachedTokens = 0;
    m_decoding.clear();
    m_prefilled.clear();
}

Duration EngineModel::beginStep()
{
    m_decoding.clear();
    m_prefilled.clear();
    std::uint32_t prefill = 0;
    int batch = 0;
    for (Job &job : m_jobs) {
        if (batch++ >= m_speed.maxBatch)
            break;
        if (job.promptLeft == 0) {
            m_decoding.push_back(job.job.id);
            continue;
        }
        const auto part = std::min(job.promptLeft, m_speed.prefillChunk - prefill);
        job.promptLeft -= part;
        prefill += part;
        if (part > 0 && job.promptLeft == 0)
            m_prefilled.push_back(job.job.id);
    }
    m_computedPromptTokens += prefill;
    const auto sequences = static_cast<int>(m_decoding.size());
    const Duration time = m_speed.stepBase + sequences * m_speed.stepPerSequence
                          + static_cast<int>(prefill) * m_speed.perPromptToken;
    return std::chrono::duration_cast<Duration>(time * m_slowdown);
}

std::vector<EngineToken> EngineModel::finishStep()
{
    std::vector<EngineToken> tokens;
    const auto produce = [this, &tokens](RequestId id) {
        const auto job =
            std::ranges::find_if(m_jobs, [id](const Job &item) { return item.job.id == id; });
        if (job == m_jobs.end())
            return;
        const bool last = job->produced + 1 >= job->job.outputTokens;
        tokens.push_back({id, job->produced++, last});
        ++m_generatedTokens;
        if (last)
            m_jobs.erase(job);
    };
    for (const RequestId id : m_prefilled) {
        const auto job =
            std::ranges::find_if(m_jobs, [id](const Job &item) { return item.job.id == id; });
        if (job != m_jobs.end())
            addToCache(job->job);
    }
    std::ranges::for_each(m_decoding, produce);
    std::ranges::for_each(m_prefilled, produce);
    return tokens;
}

bool EngineModel::useCache(const EngineJob &job)
{
    const auto found =
        std::ranges::find(m_cache, job.prefix, &std::pair<std::uint64_t, std::uint32_t>::first);
    if (job.prefix == 0 || found == m_cache.end())
        return false;
    m_cache.splice(m_cache.begin(), m_cache, found);
    return true;
}

void EngineModel::addToCache(const EngineJob &job)
{
    if (job.prefix == 0 || job.prefixTokens == 0 || useCache(job))
        return;
    m_cache.emplace_front(job.prefix, job.prefixTokens);
    m_cachedTokens += job.prefixTokens;
    while (m_cachedTokens > m_speed.cacheTokens) {
        m_cachedTokens -= m_cache.back().second;
        m_cache.pop_back();
    }
}

} // namespace tamarack::standin
