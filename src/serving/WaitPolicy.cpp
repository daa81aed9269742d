#include "serving/WaitPolicy.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Parts of the objective, and of the time left, that a request may wait.
constexpr double firstWaitShare = 0.5;
constexpr double returnWaitShare = 0.5;
/// Shorter differences in deadlines are no sign of an earlier attempt.
constexpr milliseconds ageNoise{20};

} // namespace

TimePoint refusalTime(const WaitFacts &facts)
{
    const bool returned = facts.elapsed > Duration::zero();
    const auto share = [](Duration whole, double part) {
        return std::chrono::duration_cast<Duration>(whole * part);
    };
    const Duration wait =
        returned ? share(facts.timeLeft, returnWaitShare) : share(facts.objective, firstWaitShare);
    return facts.now + std::min(wait, share(facts.timeLeft, returnWaitShare));
}

Duration AttemptAge::learn(std::string_view route, Duration deadline)
{
    auto found = m_longest.find(route);
    if (found == m_longest.end())
        found = m_longest.emplace(std::string(route), deadline).first;
    found->second = std::max(found->second, deadline);
    const Duration age = found->second - deadline;
    return age > ageNoise ? age : Duration::zero();
}

} // namespace tamarack
