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
/// Decay time of the start rate: shorter than a burst, longer than the interval between starts of
/// one rank at one entry.
constexpr milliseconds startRateDecayTime{700};
/// `Retry-After` is spread evenly over a range of the time left to the client's deadline, given as
/// fractions of it. Clients honour a `Retry-After` of up to a third of that time.
constexpr double minRetryFraction = 0.15;
constexpr double retryFractionSpread = 0.17;
constexpr milliseconds minRetryAfter{200};

} // namespace

DispatchQueue::DispatchQueue(UpstreamTable &upstreams, std::string dataCentre)
    : m_upstreams(upstreams)
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

void DispatchQueue::setPeerDemand(const std::vector<QueueDemand> &demand)
{
    for (auto &[service, queue] : m_serviceQueues)
        queue.peerDemand.clear();
    for (const QueueDemand &row : demand) {
        RankDemand &sum = m_serviceQueues[row.service].peerDemand[row.rank];
        sum.waiting += row.waiting;
        sum.running += row.running;
        sum.late += row.late;
    }
}

void DispatchQueue::decideService(const std::string &service, ServiceQueue &queue, TimePoint now,
                                  QueueDecisions &decisions)
{
    int free = m_upstreams.freePlaces(service, now);
    std::vector<Ticket> ended;
    std::map<QueueRank, RankState> ranks;
    for (const auto &[request, effectiveRank, late] : startOrder(service, queue, now)) {
        const bool promoted = effectiveRank != request->rank;
        const auto [rank, isNew] = ranks.try_emplace(request->rank);
        RankState &view = rank->second;
        if (isNew)
            view = rankState(request->rank, queue, now);
        const int reserved = reserve(effectiveRank, late, queue);
        const bool refusable = cannotStartInTime(*request, view, now);
        const auto pacing =
            refusable ? UpstreamChooser::Pacing::Ignore : UpstreamChooser::Pacing::Keep;
        UpstreamChoice choice;
        // Its place is not among those that others may use.
        const bool isBound = !request->onlyAt.empty();
        if (free > reserved || isBound)
            choice = m_chooser.choose(*request, pacing, now);
        if (choice.upstream) {
            assign(*request, choice, now, decisions);
            decisions.assignments.back().promoted = promoted;
            free -= isBound ? 0 : 1;
        } else if (refusable) {
            decisions.refusals.push_back(refuse(*request, view, free, reserved, now));
            ++view.ahead;
        } else {
            ++view.ahead;
            continue;
        }
        ended.push_back(request->ticket);
    }
    for (const Ticket ticket : ended)
        remove(ticket);
}

void DispatchQueue::refuseWhileClosed(const ServiceQueue &queue, TimePoint opensAt, TimePoint now,
                                      QueueDecisions &decisions)
{
    std::vector<Ticket> refused;
    for (const auto &[position, request] : queue.waiting) {
        if (request.refuseAt > opensAt)
            continue;
        QueueRefusal refusal = refuse(request, {}, 0, 0, now);
        refusal.retryAfter += opensAt - now;
        decisions.refusals.push_back(refusal);
        refused.push_back(request.ticket);
    }
    for (const Ticket ticket : refused)
        remove(ticket);
}

DispatchQueue::RankState DispatchQueue::rankState(QueueRank rank, const ServiceQueue &queue,
                                                  TimePoint now)
{
    const auto starts = queue.starts.find(rank);
    const double perSecond = starts == queue.starts.end() ? 0 : starts->second.perSecond(now);
    return {perSecond, 0};
}

std::vector<DispatchQueue::Candidate> DispatchQueue::startOrder(const std::string &service,
                                                                const ServiceQueue &queue,
                                                                TimePoint now) const
{
    const Duration firstToken = m_upstreams.model(service).nominal(0);
    std::vector<Candidate> order;
    order.reserve(queue.waiting.size());
    for (const auto &[position, request] : queue.waiting)
        order.push_back({&request, request.rank, now + firstToken > request.objectiveAt});
    std::ranges::stable_sort(order, {}, [&](const Candidate &each) {
        return std::tuple(each.effectiveRank, each.late, engineTime(*each.request));
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
                                      TimePoint now)
{
    if (now >= request.refuseAt)
        return true;
    const double secondsLeft = std::chrono::duration<double>(request.refuseAt - now).count();
    return static_cast<double>(view.ahead)
           >= std::max(minQueueLength, view.startsPerSecond * secondsLeft);
}

QueueRefusal DispatchQueue::refuse(const QueuedRequest &request, const RankState &view,
                                   int freePlaces, int reserved, TimePoint now)
{
    const RefusalDetails details{now >= request.refuseAt, freePlaces, reserved, view.ahead,
                                 view.startsPerSecond};
    return {request.ticket, retryAfter(request, now), details};
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
    queue.starts.try_emplace(request.rank, startRateDecayTime).first->second.add(now);
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
        for (const auto &[rank, row] : byRank)
            rows.push_back({service, rank, row.waiting, row.running, row.late});
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
