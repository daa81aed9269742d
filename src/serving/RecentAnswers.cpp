#include "serving/RecentAnswers.h"

#include <algorithm>
#include <utility>

namespace tamarack {

void RecentAnswers::record(PromptPartId part, TimePoint at)
{
    if (m_newer.size() >= generationSize && !m_newer.contains(part))
        m_older = std::exchange(m_newer, {});
    TimePoint &last = m_newer[part];
    last = std::max(last, at);
}

std::optional<TimePoint> RecentAnswers::last(PromptPartId part) const
{
    for (const Generation *generation : {&m_newer, &m_older})
        if (const auto found = generation->find(part); found != generation->end())
            return found->second;
    return std::nullopt;
}

} // namespace tamarack
