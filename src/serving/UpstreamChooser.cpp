#include "serving/UpstreamChooser.h"

#include "base/Hash.h"
#include "serving/QueuedRequest.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>
#include <ranges>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t rememberedPrefixes = 4096;
/// Fraction of a prompt that is computed again at the engine that ran it last, and at its home
/// engine, which every entry prefers for that prompt.
constexpr double freshShareAtLast = 0.05;
constexpr double freshShareAtHome = 0.3;
/// Cost of traffic between data centres, in milliseconds.
constexpr double otherDataCentreMs = 4;
/// Cost of sharing an engine: each running request slows down token generation for the others.
constexpr double fullEngineMs = 25;
/// An upstream whose time factor is at most this fraction of the mean is fast. Long prompts and
/// responses need fast upstreams, so their places cost more the fewer of them are free.
constexpr double fastShare = 0.75;
constexpr double fastPlaceMs = 170;
/// Cost of a first token that misses its latency objective.
constexpr double lateFirstTokenMs = 400;
/// Fraction of the time left until the deadline that a response may be predicted to take.
constexpr double deadlineUse = 0.8;
/// Fraction of the objective for the interval between events that one prompt may use up.
constexpr double pauseUse = 0.5;
/// Time until this entry hears of another entry's start.
constexpr double reportDelaySeconds = 0.1;
/// Starts of another entry within that time, at the beginning of a burst.
constexpr double fewestStartsUnheard = 0.1;

/// Requests ahead are taken to be as long as the request, but no longer than this.
constexpr std::uint32_t mostEventsAhead = 16;

/// Expected time of the events after the first; a slowdown of the upstream's host passes.
Duration eventTime(const EngineTimeModel &model, const UpstreamState &upstream,
                   std::uint32_t events, TimePoint now)
{
    const Duration usual = model.predictEvents(upstream.factor, events);
    const double slowness = upstream.occupancy.slowness(now);
    const Duration slowed = std::min<Duration>(usual, OccupancyModel::paceLife);
    return usual + std::chrono::duration_cast<Duration>(slowed * (slowness - 1));
}

bool isAllowed(const QueuedRequest &request, const UpstreamState &upstream)
{
    const bool isAmong = request.onlyAt.empty()
                         || std::ranges::find(request.onlyAt, upstream.key) != request.onlyAt.end();
    return isAmong && !request.withheldVersions.contains(upstream.record.version)
           && std::ranges::find(request.excluded, upstream.key) == request.excluded.end();
}

} // namespace

UpstreamChooser::UpstreamChooser(const UpstreamTable &upstreams, std::string dataCentre)
    : m_upstreams(upstreams)
    , m_dataCentre(std::move(dataCentre))
    , m_affinity(rememberedPrefixes)
{}

void UpstreamChooser::recordStart(const QueuedRequest &request, const UpstreamState &upstream)
{
    if (request.prefix != 0)
        m_affinity.record(request.prefix, upstream.record.id);
}

UpstreamChoice UpstreamChooser::choose(const QueuedRequest &request, Pacing pacing,
                                       TimePoint now) const
{
    const auto &upstreams = m_upstreams.ofOwnGroup(request.service);
    const UpstreamKey home = homeOf(request.prefix, upstreams);
    const Speeds bySpeed = speeds(upstreams, now);
    UpstreamChoice best;
    best.costMs = std::numeric_limits<double>::max();
    for (const UpstreamPtr &upstream : suitable(request, pacing, now)) {
        if (UpstreamTable::freePlaces(*upstream, now) == 0)
            continue;
        UpstreamChoice choice = evaluate(request, upstream, home, bySpeed, now);
        if (choice.costMs < best.costMs)
            best = std::move(choice);
    }
    return best;
}

std::vector<UpstreamPtr> UpstreamChooser::suitable(const QueuedRequest &request, Pacing pacing,
                                                   TimePoint now) const
{
    std::vector<UpstreamPtr> open;
    const auto isOpen = [&](const UpstreamPtr &each) {
        return UpstreamTable::limit(*each, now) > 0
               && (!request.version || *request.version == each->record.version)
               && isAllowed(request, *each);
    };
    std::ranges::copy_if(m_upstreams.ofOwnGroup(request.service), std::back_inserter(open), isOpen);
    if (open.empty())
        std::ranges::copy_if(m_upstreams.ofService(request.service), std::back_inserter(open),
                             isOpen);
    // Keeps only the upstreams that have the property, if there are any.
    const auto prefer = [&open](auto hasProperty) {
        if (std::ranges::any_of(open, hasProperty))
            std::erase_if(open, [&](const UpstreamPtr &each) { return !hasProperty(each); });
    };
    const Duration firstToken = m_upstreams.model(request.service).nominal(request.promptTokens);
    prefer([&](const UpstreamPtr &each) { return endsInTime(request, *each, firstToken, now); });
    const bool paced = pacing == Pacing::Keep && request.pauseObjective > Duration::zero();
    if (open.empty() || !paced)
        return open;
    const double fastest = (*std::ranges::min_element(open, {}, &UpstreamState::factor))->factor;
    prefer([&](const UpstreamPtr &each) { return keepsPauses(request, *each, fastest, now); });
    return open;
}

bool UpstreamChooser::keepsPauses(const QueuedRequest &request, const UpstreamState &upstream,
                                  double fastestFactor, TimePoint now) const
{
    if (upstream.requests(now) == 0)
        return true;
    const EngineTimeModel &model = m_upstreams.model(request.service);
    const Duration shortest = model.predictPause(fastestFactor, request.promptTokens);
    const Duration objective =
        std::chrono::duration_cast<Duration>(request.pauseObjective * pauseUse);
    const Duration bound = std::max(objective, shortest + shortest / 4);
    return model.predictPause(upstream.factor * upstream.occupancy.slowness(now),
                              upstream.prefillTokens() + request.promptTokens)
           <= bound;
}

UpstreamChooser::Speeds UpstreamChooser::speeds(const std::vector<UpstreamPtr> &upstreams,
                                                TimePoint now) const
{
    Speeds speeds;
    if (upstreams.empty())
        return speeds;
    const double sum =
        std::accumulate(upstreams.begin(), upstreams.end(), 0.0,
                        [](double total, const UpstreamPtr &each) { return total + each->factor; });
    speeds.fastFactor = fastShare * sum / static_cast<double>(upstreams.size());
    int places = 0;
    int taken = 0;
    for (const UpstreamPtr &upstream : upstreams) {
        if (upstream->factor > speeds.fastFactor)
            continue;
        const int limit = UpstreamTable::limit(*upstream, now);
        places += limit;
        taken += std::min(limit, static_cast<int>(upstream->requests(now)));
    }
    speeds.fastTaken = places > 0 ? static_cast<double>(taken) / places : 0;
    return speeds;
}

bool UpstreamChooser::endsInTime(const QueuedRequest &request, const UpstreamState &upstream,
                                 Duration firstToken, TimePoint now) const
{
    const EngineTimeModel &model = m_upstreams.model(request.service);
    const Duration whole = firstToken + eventTime(model, upstream, request.responseEvents, now);
    return whole <= (request.deadlineAt - now) * deadlineUse;
}

double UpstreamChooser::lateCost(const QueuedRequest &request, const UpstreamState &upstream,
                                 Duration firstToken, TimePoint now) const
{
    double cost = 0;
    const bool onTimeAtAll = now < request.objectiveAt;
    if (onTimeAtAll && now + firstToken > request.objectiveAt)
        cost += lateFirstTokenMs;
    if (!endsInTime(request, upstream, firstToken, now)) {
        const EngineTimeModel &model = m_upstreams.model(request.service);
        cost +=
            toFractionalMs(firstToken + eventTime(model, upstream, request.responseEvents, now));
    }
    return cost;
}

UpstreamChoice UpstreamChooser::evaluate(const QueuedRequest &request, const UpstreamPtr &upstream,
                                         UpstreamKey home, const Speeds &speeds,
                                         TimePoint now) const
{
    double freshShare = 1;
    if (request.prefix != 0 && m_affinity.matches(request.prefix, upstream->record.id))
        freshShare = freshShareAtLast;
    else if (request.prefix != 0 && upstream->key == home)
        freshShare = freshShareAtHome;
    UpstreamChoice choice;
    choice.upstream = upstream;
    choice.freshTokens = static_cast<std::uint32_t>(freshShare * request.promptTokens);
    const EngineTimeModel &model = m_upstreams.model(request.service);
    const double factor = upstream->factor * upstream->occupancy.slowness(now);
    choice.predicted = model.predict(factor, upstream->prefillTokens() + choice.freshTokens);
    const int slots = upstream->occupancy.slots(upstream->record.slots, now);
    const double filled = static_cast<double>(upstream->requests(now)) / slots;
    if (upstream->occupancy.hasReading())
        choice.predicted += expectedWait(request, *upstream, factor, now);
    choice.costMs = toFractionalMs(choice.predicted) + filled * factor * fullEngineMs;
    choice.costMs += lateCost(request, *upstream, choice.predicted, now);
    if (upstream->engine && upstream->factor <= speeds.fastFactor)
        choice.costMs += fastPlaceMs * speeds.fastTaken * speeds.fastTaken;
    if (upstream->record.dataCentre != m_dataCentre)
        choice.costMs += otherDataCentreMs;
    return choice;
}

Duration UpstreamChooser::expectedWait(const QueuedRequest &request, const UpstreamState &upstream,
                                       double factor, TimePoint now) const
{
    const int slots = upstream.occupancy.slots(upstream.record.slots, now);
    const int freeSlots = slots - static_cast<int>(upstream.requests(now));
    const int queued = std::max(0, 1 - freeSlots);
    const double startsUnheard =
        std::max(fewestStartsUnheard,
                 m_upstreams.startsPerSecond(request.service, now) * reportDelaySeconds);
    const std::uint32_t contenders =
        upstream.rank.contenders(static_cast<std::uint32_t>(std::max(0, freeSlots)));
    const double ahead = queued + contenders * std::min(1.0, startsUnheard);
    const EngineTimeModel &model = m_upstreams.model(request.service);
    const std::uint32_t events = std::min(request.responseEvents, mostEventsAhead);
    const Duration each = model.predict(factor, 0) + model.predictEvents(factor, events);
    return std::chrono::duration_cast<Duration>(each * (ahead / slots));
}

UpstreamKey UpstreamChooser::homeOf(std::uint64_t prefix, const std::vector<UpstreamPtr> &upstreams)
{
    if (prefix == 0 || upstreams.empty())
        return 0;
    // An upstream that does not accept every request must not become the home of a recurring
    // prompt.
    const auto weight = [prefix](const UpstreamPtr &upstream) {
        const bool acceptsAll = !upstream->terms.isLeaving() && !upstream->terms.isLimited()
                                && !upstream->versionWithheld;
        return std::pair(acceptsAll, mixBits(prefix, upstream->key));
    };
    return (*std::ranges::max_element(upstreams, {}, weight))->key;
}

} // namespace tamarack
