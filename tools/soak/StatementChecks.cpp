#include "soak/StatementChecks.h"

#include <algorithm>
#include <chrono>

namespace tamarack::soak {

namespace {

using std::chrono::seconds;

/// The bounds of the platform's contract: `drainMs`, `stableMs`, and those of LIMIT and BUDGET.
constexpr seconds drainBound{2};
constexpr seconds stableBound{3};
constexpr seconds limitWindow{4};
constexpr double limitRatio = 1.5;
constexpr double limitSlack = 5;
constexpr milliseconds noticeBound{500};
constexpr int mostWhileClosed = 2;

std::string entryText(std::size_t entry)
{
    return " from entry " + std::to_string(entry);
}

} // namespace

void StatementChecks::namesLimit(std::size_t upstream, std::optional<double> perSecond,
                                 TimePoint now)
{
    Upstream &state = m_upstreams[upstream];
    state.limit = perSecond;
    state.limitSince = now;
    state.limitTold.clear();
}

void StatementChecks::saysThatItLeaves(std::size_t upstream, TimePoint now)
{
    m_upstreams[upstream].leavingSince = now;
}

void StatementChecks::isReplaced(std::size_t upstream)
{
    m_upstreams[upstream].leavingSince.reset();
    m_upstreams[upstream].leavingTold.clear();
}

bool StatementChecks::isExcused(std::size_t entry, TimePoint from, TimePoint now) const
{
    return m_disturbances.touched(Scope::Process, entry, from, now)
           || m_disturbances.touched(Scope::Upstream, std::nullopt, from, now);
}

bool StatementChecks::knowsLimit(const Upstream &upstream, std::size_t entry, TimePoint now) const
{
    const auto told = upstream.limitTold.find(entry);
    return told != upstream.limitTold.end() && told->second + noticeBound <= now
           && !isExcused(entry, std::min(told->second, now - limitWindow), now);
}

StatementChecks::Finding StatementChecks::checkLimit(const Upstream &upstream, std::size_t entry,
                                                     TimePoint now) const
{
    if (!upstream.limit || now < upstream.limitSince + stableBound
        || !knowsLimit(upstream, entry, now))
        return std::nullopt;
    const auto got = std::ranges::count_if(upstream.arrivals, [&](const Arrival &each) {
        return now - each.at < limitWindow && knowsLimit(upstream, each.entry, now);
    });
    const double allowed =
        limitRatio * *upstream.limit * static_cast<double>(limitWindow.count()) + limitSlack;
    if (static_cast<double>(got) <= allowed)
        return std::nullopt;
    return "got " + std::to_string(got) + " requests in 4 s, allowed " + std::to_string(allowed);
}

StatementChecks::Finding StatementChecks::checkLeaving(const Upstream &upstream, std::size_t entry,
                                                       TimePoint sentAt, TimePoint now) const
{
    const auto told = upstream.leavingTold.find(entry);
    const bool late = told != upstream.leavingTold.end() && sentAt > told->second + drainBound
                      && !m_disturbances.touched(Scope::Process, entry, told->second, now);
    return late ? Finding("got a request after it had said that it leaves," + entryText(entry))
                : std::nullopt;
}

StatementChecks::Finding StatementChecks::checkClosed(Upstream &upstream, std::size_t entry,
                                                      TimePoint now) const
{
    const auto found = upstream.closings.find(entry);
    if (found == upstream.closings.end())
        return std::nullopt;
    Closing &closing = found->second;
    const bool closed = now >= closing.at + noticeBound && now < closing.until;
    if (!closed || isExcused(entry, closing.at, now) || ++closing.arrivals <= mostWhileClosed)
        return std::nullopt;
    return "got " + std::to_string(closing.arrivals) + " requests while it wanted none"
           + entryText(entry);
}

StatementChecks::Finding StatementChecks::arrived(std::size_t upstream, std::size_t entry,
                                                  TimePoint sentAt, TimePoint now)
{
    Upstream &state = m_upstreams[upstream];
    state.arrivals.push_back({now, entry});
    while (now - state.arrivals.front().at >= limitWindow)
        state.arrivals.pop_front();
    const std::string name = "upstream " + std::to_string(upstream) + ' ';
    for (const Finding &finding :
         {checkLimit(state, entry, now), checkLeaving(state, entry, sentAt, now),
          checkClosed(state, entry, now)})
        if (finding)
            return name + *finding;
    return std::nullopt;
}

void StatementChecks::turnedAway(std::size_t upstream, std::size_t entry, Duration closedFor,
                                 TimePoint now)
{
    Closing &closing = m_upstreams[upstream].closings[entry];
    if (now >= closing.until)
        closing = {now, now + closedFor, 0};
}

void StatementChecks::passedOn(std::size_t upstream, std::size_t entry, TimePoint madeAt,
                               TimePoint now)
{
    Upstream &state = m_upstreams[upstream];
    if (state.limit && madeAt >= state.limitSince)
        state.limitTold.try_emplace(entry, now);
    if (state.leavingSince && madeAt >= *state.leavingSince)
        state.leavingTold.try_emplace(entry, now);
}

} // namespace tamarack::soak
