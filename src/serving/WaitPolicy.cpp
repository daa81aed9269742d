#include "serving/WaitPolicy.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Fractions of the objective, of the time until the client gives up and of the time left that a
/// request may wait.
constexpr double firstAttemptShare = 0.8;
constexpr double idleTimeoutShare = 0.5;
constexpr double timeLeftShare = 0.5;
/// Clients of streams give up after the longest of a fixed time, a multiple of the objective and a
/// multiple of the pause bound.
constexpr milliseconds minClientIdleTimeout{2000};
constexpr int idleTimeoutObjectives = 4;
constexpr int idleTimeoutPauses = 8;
/// Clients set deadlines that vary by up to this fraction of the longest one; smaller differences
/// do not indicate a retry. First attempts are taken to lie at half of it on average.
constexpr double deadlineSpread = 0.16;

Duration share(Duration whole, double part)
{
    return std::chrono::duration_cast<Duration>(whole * part);
}

} // namespace

Duration clientIdleTimeout(Duration objective, Duration pauseBound)
{
    return std::max<Duration>(
        {minClientIdleTimeout, objective * idleTimeoutObjectives, pauseBound * idleTimeoutPauses});
}

TimePoint refusalTime(const WaitFacts &facts)
{
    const bool isRetry = facts.elapsed > Duration::zero();
    Duration wait = share(facts.timeLeft, timeLeftShare);
    if (facts.stream)
        wait = std::min(
            wait, share(clientIdleTimeout(facts.objective, facts.pauseBound), idleTimeoutShare));
    if (!isRetry && !facts.lateIsServed)
        wait = std::min(wait, share(facts.objective, firstAttemptShare));
    return facts.now + wait;
}

Duration AttemptAgeEstimator::learn(std::string_view route, Duration deadline)
{
    auto found = m_longestDeadline.find(route);
    if (found == m_longestDeadline.end())
        found = m_longestDeadline.emplace(std::string(route), deadline).first;
    found->second = std::max(found->second, deadline);
    const Duration age = found->second - deadline;
    const Duration spread = share(found->second, deadlineSpread);
    return age > spread ? age - spread / 2 : Duration::zero();
}

} // namespace tamarack
