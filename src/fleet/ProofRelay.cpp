#include "fleet/ProofRelay.h"

namespace tamarack {

std::optional<std::pair<std::string, ProofAsk>>
ProofRelay::ask(const std::vector<std::string> &followers, TimePoint now, BootTime bootTime)
{
    if (followers.empty() || now < m_nextAsk)
        return std::nullopt;
    m_nextAsk = now + askInterval;
    return std::pair(followers[++m_turn % followers.size()], ProofAsk{m_own, bootTime});
}

std::optional<ProofAnswer> ProofRelay::answer(const ProofAsk &ask, std::uint64_t configVersion,
                                              const FreshnessGuard &freshness, BootTime bootTime)
{
    const auto age = freshness.age(bootTime);
    if (!age || *age > oldestRelayed)
        return std::nullopt;
    // The age is rounded down.
    return ProofAnswer{ask.asker, ask.askedAt, configVersion, *age + milliseconds(1)};
}

std::optional<BootTime> ProofRelay::learn(const ProofAnswer &answer,
                                          std::uint64_t configVersion) const
{
    // An answer to another entry, or to this one before it restarted, was asked on another clock.
    if (answer.asker != m_own || answer.configVersion != configVersion)
        return std::nullopt;
    return answer.askedAt - answer.age;
}

} // namespace tamarack
