#include "serving/HedgePolicy.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Hedges that may be saved up, so that a rare burst of slow responses does not use a share that
/// was earned long before.
constexpr double maxTokens = 3;
/// Load is over if nothing has been refused for this long.
constexpr std::chrono::seconds refusalMemory{2};
/// Fraction of the places that must be free.
constexpr double minFreeShare = 0.25;
/// Shorter delays are within the noise of this process.
constexpr milliseconds minDelay{5};

} // namespace

HedgePolicy::ServiceState &HedgePolicy::stateOf(std::string_view service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        return found->second;
    return m_services.emplace(std::string(service), ServiceState()).first->second;
}

void HedgePolicy::countSend(std::string_view service)
{
    double &tokens = stateOf(service).tokens;
    tokens = std::min(maxTokens, tokens + m_share);
}

void HedgePolicy::countRefusal(std::string_view service, TimePoint now)
{
    stateOf(service).refusedAt = now;
}

void HedgePolicy::recordFirstToken(std::string_view service, Duration predicted, Duration took)
{
    stateOf(service).slowness.add(predicted, took);
}

void HedgePolicy::recordSlow(std::string_view service, Duration predicted, Duration atLeast)
{
    // The delay is the upper end of a class, which a time just over it must not fall back into.
    stateOf(service).slowness.add(predicted, atLeast + atLeast / 4);
}

std::optional<Duration> HedgePolicy::delay(std::string_view service, Duration predicted) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    const auto ratio = found->second.slowness.exceededBy(m_share);
    if (!ratio)
        return std::nullopt;
    return std::max<Duration>(minDelay, std::chrono::duration_cast<Duration>(predicted * *ratio));
}

std::optional<HedgeDenial> HedgePolicy::tryHedge(std::string_view service, const HedgeLoad &load,
                                                 TimePoint now)
{
    ServiceState &state = stateOf(service);
    const bool refusing = state.refusedAt != TimePoint{} && now - state.refusedAt < refusalMemory;
    if (load.waiting > 0 || refusing || load.freePlaces < minFreeShare * load.places)
        return HedgeDenial::Loaded;
    if (state.tokens < 1)
        return HedgeDenial::ShareUsedUp;
    state.tokens -= 1;
    return std::nullopt;
}

void HedgePolicy::release(std::string_view service)
{
    double &tokens = stateOf(service).tokens;
    tokens = std::min(maxTokens, tokens + 1);
}

} // namespace tamarack
