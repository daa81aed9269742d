#include "serving/DispatchQueue.h"

#include "base/Hash.h"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace tamarack {

namespace {

/// Capacity reserved for higher ranks, as a fraction of the slots that they occupy.
constexpr double reservedFraction = 0.1;
/// Number of requests of a rank that may queue at an entry regardless of the start rate.
constexpr double minQueueLength = 2;
/// `Retry-After` is spread evenly over a range of the time left to the client's deadline, given as
/// fractions of it. Clients honour a `Retry-After` of up to a third of that time.
constexpr double minRetryFraction = 0.15;
constexpr double retryFractionSpread = 0.17;
constexpr milliseconds minRetryAfter{200};
/// Part of its time after which a client's return differs from a first attempt by its deadline.
constexpr double minReturnAge = 0.19;
/// Ranks with lower rates per second are not reported unless they have requests.
constexpr double leastReportedRate = 0.1;

/// Rows without requests only carry rates.
bool hasRequests(const QueueDemand &row)
{
    return row.waiting > 0 || row.running > 0;
}

} // namespace

bool sameNumbers(const std::vector<QueueDemand> &a, const std::vector<QueueDemand> &b)
{
    const auto numbers = [](const QueueDemand &row) {
        return std::tuple(std::string_view(row.service), row.rank, row.waiting, row.running,
                          row.late, row.selective);
    };
    return std::ranges::equal(a | std::views::filter(hasRequests),
                              b | std::views::filter(hasRequests), {}, numbers, numbers);
}

DispatchQueue::DispatchQueue(UpstreamTable &upstreams, std::string dataCentre,
                             SchedulingOptions options)
    : m_upstreams(upstreams)
    , m_options(options)
    , m_chooser(upstreams, std::move(dataCentre))
{}

void DispatchQueue::push(QueuedRequest request)
{
    const QueuePosition position{request.rank, request.arrived, request.ticket};
    m_positions[request.ticket] = {request.service, position};
    ServiceQueue &queue = m_serviceQueues[request.service];
    if (request.isFirstAttempt) {
        queue.shares.countArrival(routeTierOf(request.rank), engineTime(request), request.arrived);
    }
    if (m_options.fleetView && request.excluded.empty()) {
        queue.history[request.rank].arrivals.add(request.queuedAt);
    }
    queue.waiting.emplace(position, std::move(request));
}

Duration DispatchQueue::engineTime(const QueuedRequest &request) const
{
    const EngineTimeModel &model = m_upstreams.model(request.service);
    return model.nominal(request.promptTokens) + model.predictEvents(1, request.responseEvents);
}

bool DispatchQueue::remove(Ticket ticket)
{
    const auto found = m_positions.find(ticket);
    if (found == m_positions.end())
        return false;
    m_serviceQueues[found->second.first].waiting.erase(found->second.second);
    m_positions.erase(found);
    return true;
}

QueueDecisions DispatchQueue::decide(TimePoint now)
{
    QueueDecisions decisions;
    for (auto &[service, queue] : m_serviceQueues) {
        if (queue.waiting.empty())
            continue;
        if (const auto opensAt = m_upstreams.opensAt(service, now))
            refuseWhileClosed(queue, *opensAt, now, decisions);
        else
            decideService(service, queue, now, decisions);
    }
    return decisions;
}

void DispatchQueue::withholdVersions(std::string_view service,
                                     const std::set<std::string> &versions)
{
    const auto queue = m_serviceQueues.find(service);
    if (queue == m_serviceQueues.end())
        return;
    for (auto &[position, request] : queue->second.waiting) {
        if (request.version)
            continue;
        request.withheldVersions = versions;
        request.onlyAt.clear();
    }
}

void DispatchQueue::setPeerDemand(const std::vector<QueueDemand> &demand,
                                  std::optional<TimePoint> toldAt)
{
    m_peersToldAt = toldAt;
    for (auto &[service, queue] : m_serviceQueues)
        queue.peerDemand.clear();
    for (const QueueDemand &row : demand) {
        RankDemand &sum = m_serviceQueues[row.service].peerDemand[row.rank];
        sum.waiting += row.waiting;
        sum.running += row.running;
        sum.late += row.late;
        sum.selective += row.selective;
        sum.arrivalsPerSecond += row.arrivalsPerSecond;
        sum.startsPerSecond += row.startsPerSecond;
    }
}

void DispatchQueue::decideService(const std::string &service, ServiceQueue &queue, TimePoint now,
                                  QueueDecisions &decisions)
{
    int free = m_upstreams.freePlaces(service, now);
    std::vector<Ticket> ended;
    std::map<QueueRank, RankState> ranks;
    std::optional<FleetRoom> fleet;
    if (m_options.fleetView)
        fleet = fleetRoom(queue, now);
    const FleetRoom *room = fleet ? &*fleet : nullptr;
    for (const auto &[request, effectiveRank, late, keptReturn] : startOrder(service, queue, now)) {
        const bool promoted = effectiveRank != request->rank;
        const auto [rank, isNew] = ranks.try_emplace(request->rank);
        RankState &view = rank->second;
        if (isNew)
            view = rankState(request->rank, queue, room, now);
        if (isNew && m_options.appointments)
            view.due = m_returns.dueUpTo(service, request->rank, now);
        const int reserved =
            room ? room->reserve(effectiveRank, late) : reserve(effectiveRank, late, queue);
        const bool refusable =
            cannotStartInTime(*request, view, keptReturn ? 0 : view.due, room, now);
        const auto pacing =
            refusable ? UpstreamChooser::Pacing::Ignore : UpstreamChooser::Pacing::Keep;
        UpstreamChoice choice;
        // Its place is not among those that others may use.
        const bool isBound =
            !request->onlyAt.empty()
            || (request->version && m_upstreams.isWithheld(service, *request->version));
        if (free > reserved || isBound)
            choice = m_chooser.choose(*request, pacing, now);
        if (choice.upstream) {
            assign(*request, choice, now, decisions);
            decisions.assignments.back().promoted = promoted;
            decisions.assignments.back().keptReturn = keptReturn;
            free -= isBound ? 0 : 1;
        } else if (refusable) {
            QueueRefusal refusal = refuse(*request, view, free, reserved, now);
            if (room)
                refusal.details.fleetAhead = room->ahead(request->rank, view.ahead);
            decisions.refusals.push_back(refusal);
            ++view.ahead;
        } else {
            ++view.ahead;
            view.selective += free > reserved ? 1 : 0;
            continue;
        }
        ended.push_back(request->ticket);
    }
    for (const Ticket ticket : ended)
        remove(ticket);
    if (!room)
        return;
    for (auto &[rank, history] : queue.history)
        history.selective = 0;
    for (const auto &[rank, view] : ranks)
        queue.history[rank].selective = view.selective;
}

FleetRoom DispatchQueue::fleetRoom(const ServiceQueue &queue, TimePoint now)
{
    std::map<QueueRank, RankRoom> ranks;
    for (const auto &[position, request] : queue.waiting)
        ++ranks[position.rank].ownWaiting;
    for (const auto &[rank, starts] : queue.starts)
        ranks[rank].startsPerSecond += starts.perSecond(now);
    for (const auto &[rank, history] : queue.history) {
        RankRoom &room = ranks[rank];
        room.ownSelective = std::min(history.selective, room.ownWaiting);
        room.arrivalsPerSecond += history.arrivals.perSecond(now);
    }
    for (const auto &[rank, demand] : queue.peerDemand) {
        RankRoom &room = ranks[rank];
        room.peerWaiting += demand.waiting;
        room.peerLate += demand.late;
        room.peerSelective += demand.selective;
        room.arrivalsPerSecond += demand.arrivalsPerSecond;
        room.startsPerSecond += demand.startsPerSecond;
    }
    return FleetRoom(std::move(ranks));
}

void DispatchQueue::refuseWhileClosed(const ServiceQueue &queue, TimePoint opensAt, TimePoint now,
                                      QueueDecisions &decisions)
{
    std::vector<Ticket> refused;
    for (const auto &[position, request] : queue.waiting) {
        if (request.refuseAt > opensAt)
            continue;
        // Not an appointment: the room is known to return at `opensAt`.
        RefusalDetails details;
        details.waitExpired = now >= request.refuseAt;
        decisions.refusals.push_back(
            {request.ticket, retryAfter(request, now) + (opensAt - now), details});
        refused.push_back(request.ticket);
    }
    for (const Ticket ticket : refused)
        remove(ticket);
}

DispatchQueue::RankState DispatchQueue::rankState(QueueRank rank, const ServiceQueue &queue,
                                                  const FleetRoom *room, TimePoint now)
{
    if (room)
        return {room->roomPerSecond(rank)};
    const auto starts = queue.starts.find(rank);
    const double perSecond = starts == queue.starts.end() ? 0 : starts->second.perSecond(now);
    return {perSecond};
}

std::vector<DispatchQueue::Candidate> DispatchQueue::startOrder(const std::string &service,
                                                                const ServiceQueue &queue,
                                                                TimePoint now) const
{
    const Duration firstToken = m_upstreams.model(service).nominal(0);
    std::vector<Candidate> order;
    order.reserve(queue.waiting.size());
    for (const auto &[position, request] : queue.waiting)
        order.push_back({&request, request.rank, now + firstToken > request.objectiveAt,
                         isKeptReturn(request, now)});
    // Clients that keep an appointment go first in their rank.
    for (Candidate &each : order)
        each.late = each.late && !each.keptReturn;
    std::ranges::stable_sort(order, {}, [&](const Candidate &each) {
        return std::tuple(each.effectiveRank, !each.keptReturn, each.late,
                          engineTime(*each.request));
    });
    promoteUnderserved(order, queue.shares, now);
    std::ranges::stable_sort(order, {}, [](const Candidate &each) {
        return std::pair(each.effectiveRank, each.effectiveRank == each.request->rank);
    });
    return order;
}

void DispatchQueue::promoteUnderserved(std::vector<Candidate> &order, const KindShares &shares,
                                       TimePoint now)
{
    struct KindState
    {
        double deficit = 0;
        TierRank donor = 0;
    };
    std::map<TierRank, KindState> kinds;
    for (Candidate &each : order) {
        const TierRank kind = routeTierOf(each.effectiveRank);
        const auto [row, isNew] = kinds.try_emplace(kind);
        KindState &view = row->second;
        if (isNew)
            view = {shares.startDeficit(kind, now), shares.donor(kind, now)};
        if (view.deficit > 0)
            each.effectiveRank = queueRank(tierOf(each.effectiveRank), view.donor);
        view.deficit -= 1;
    }
}

bool DispatchQueue::cannotStartInTime(const QueuedRequest &request, const RankState &view,
                                      double due, const FleetRoom *room, TimePoint now)
{
    if (now >= request.refuseAt)
        return true;
    if (room)
        return room->ahead(request.rank, view.ahead) >= minQueueLength
               && room->expectedWait(request.rank, view.ahead, due) > request.refuseAt - now;
    const double secondsLeft = std::chrono::duration<double>(request.refuseAt - now).count();
    return static_cast<double>(view.ahead)
           >= std::max(minQueueLength, view.startsPerSecond * secondsLeft);
}

QueueRefusal DispatchQueue::refuse(const QueuedRequest &request, const RankState &view,
                                   int freePlaces, int reserved, TimePoint now)
{
    RefusalDetails details;
    details.waitExpired = now >= request.refuseAt;
    details.freePlaces = freePlaces;
    details.reserved = reserved;
    details.ahead = view.ahead;
    details.startsPerSecond = view.startsPerSecond;
    if (m_peersToldAt)
        details.viewAge = now - *m_peersToldAt;
    if (!m_options.appointments)
        return {request.ticket, retryAfter(request, now), details};
    details.appointment = appoint(request, view.startsPerSecond, now);
    return {request.ticket, details.appointment->delay, details};
}

ReturnBook::Appointment DispatchQueue::appoint(const QueuedRequest &request, double roomPerSecond,
                                               TimePoint now)
{
    const Duration whole = request.deadlineAt - request.arrived;
    const Duration known =
        std::chrono::duration_cast<Duration>(whole * minReturnAge) - (now - request.arrived);
    const Duration left = std::max(Duration::zero(), request.deadlineAt - now);
    ReturnBook::Terms terms;
    terms.earliest = std::max<Duration>(minRetryAfter, known);
    terms.latest =
        std::chrono::duration_cast<Duration>(left * (minRetryFraction + retryFractionSpread));
    terms.roomPerSecond = roomPerSecond;
    terms.seed = mixBits(request.ticket, request.prefix);
    // Clients return once; one that returned already has no use for another appointment.
    if (!request.isFirstAttempt)
        terms.roomPerSecond = 0;
    return m_returns.book(request.service, request.rank, terms, now);
}

bool DispatchQueue::isKeptReturn(const QueuedRequest &request, TimePoint now) const
{
    return m_options.appointments && !request.isFirstAttempt && request.excluded.empty()
           && m_returns.dueNow(request.service, request.rank, now) > 0;
}

void DispatchQueue::assign(const QueuedRequest &request, const UpstreamChoice &choice,
                           TimePoint now, QueueDecisions &decisions)
{
    decisions.assignments.push_back({request.ticket, choice.upstream,
                                     choice.upstream->prefillTokens(), choice.freshTokens,
                                     choice.predicted});
    m_upstreams.started(*choice.upstream, choice.freshTokens, now);
    ServiceQueue &queue = m_serviceQueues[request.service];
    ++queue.running[request.rank];
    queue.starts.try_emplace(request.rank, rateDecayTime).first->second.add(now);
    if (request.excluded.empty())
        queue.shares.countStart(routeTierOf(request.rank), now);
    m_chooser.recordStart(request, *choice.upstream);
}

std::optional<Assignment> DispatchQueue::assignAtOnce(const QueuedRequest &request, TimePoint now)
{
    const UpstreamChoice choice = m_chooser.choose(request, UpstreamChooser::Pacing::Keep, now);
    if (!choice.upstream || choice.upstream->terms.isLimited())
        return std::nullopt;
    QueueDecisions decisions;
    assign(request, choice, now, decisions);
    return decisions.assignments.front();
}

std::size_t DispatchQueue::waitingEverywhere(std::string_view service) const
{
    const auto queue = m_serviceQueues.find(service);
    if (queue == m_serviceQueues.end())
        return 0;
    std::size_t waiting = queue->second.waiting.size();
    for (const auto &[rank, demand] : queue->second.peerDemand)
        waiting += demand.waiting;
    return waiting;
}

int DispatchQueue::reserve(QueueRank rank, bool late, const ServiceQueue &queue)
{
    const auto above = [rank, late](QueueRank other) {
        return other < rank || (late && other == rank);
    };
    std::uint32_t waitingAbove = 0;
    std::uint32_t runningAbove = 0;
    for (const auto &[other, demand] : queue.peerDemand) {
        if (!above(other))
            continue;
        waitingAbove +=
            tierOf(other) < tierOf(rank) ? demand.waiting : demand.waiting - demand.late;
        runningAbove += demand.running;
    }
    for (const auto &[other, running] : queue.running)
        runningAbove += above(other) ? running : 0;
    return static_cast<int>(waitingAbove) + static_cast<int>(reservedFraction * runningAbove);
}

void DispatchQueue::ended(std::string_view service, QueueRank rank)
{
    const auto queue = m_serviceQueues.find(service);
    if (queue == m_serviceQueues.end())
        return;
    const auto running = queue->second.running.find(rank);
    if (running != queue->second.running.end() && --running->second == 0)
        queue->second.running.erase(running);
}

Duration DispatchQueue::retryAfter(const QueuedRequest &request, TimePoint now)
{
    constexpr double spreadSteps = 1024;
    const double position =
        static_cast<double>(mixBits(request.ticket, request.prefix) % 1024) / spreadSteps;
    const double share = minRetryFraction + retryFractionSpread * position;
    const Duration left = std::max(Duration::zero(), request.deadlineAt - now);
    return std::max<Duration>(minRetryAfter, std::chrono::duration_cast<Duration>(left * share));
}

std::vector<QueueDemand> DispatchQueue::demand(TimePoint now) const
{
    std::vector<QueueDemand> rows;
    for (const auto &[service, queue] : m_serviceQueues) {
        std::map<QueueRank, QueueDemand> byRank;
        for (const auto &[position, request] : queue.waiting) {
            QueueDemand &row = byRank[position.rank];
            ++row.waiting;
            row.late += now > request.objectiveAt ? 1 : 0;
        }
        for (const auto &[rank, count] : queue.running)
            byRank[rank].running = count;
        for (const auto &[rank, history] : queue.history)
            byRank[rank].arrivalsPerSecond = history.arrivals.perSecond(now);
        for (const auto &[rank, starts] : queue.starts)
            byRank[rank].startsPerSecond = m_options.fleetView ? starts.perSecond(now) : 0;
        for (const auto &[rank, history] : queue.history)
            byRank[rank].selective = std::min(history.selective, byRank[rank].waiting);
        for (auto &[rank, row] : byRank) {
            row.service = service;
            row.rank = rank;
            if (hasRequests(row)
                || row.arrivalsPerSecond + row.startsPerSecond >= leastReportedRate)
                rows.push_back(std::move(row));
        }
    }
    return rows;
}

TimePoint DispatchQueue::nextRefusal() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[service, queue] : m_serviceQueues)
        for (const auto &[position, request] : queue.waiting)
            next = std::min(next, request.refuseAt);
    return next;
}

} // namespace tamarack
