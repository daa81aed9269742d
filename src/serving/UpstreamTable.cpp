#include "serving/UpstreamTable.h"

#include "base/Hash.h"
#include "fleet/ExchangeGroups.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <unordered_set>
#include <utility>

namespace tamarack {

namespace {

/// Requests in flight allowed at a plain upstream, as a multiple of its slots. Its requests are
/// shorter than the delay of load reports from other entries, so free slots cannot be observed.
constexpr int plainQueueing = 3;
/// Requests that a plain upstream which states its load may have beyond its slots, as a fraction of
/// them, so that it does not run dry before the next statement.
constexpr double statedQueueing = 0.5;
/// Weight of a new sample in the failure share.
constexpr double failureSampleShare = 0.2;
/// An upstream with a failure share above this is unhealthy.
constexpr double troubledShare = 0.5;
/// Initial back-off for an unhealthy upstream; doubles with each further failure.
constexpr milliseconds firstBlock{150};
constexpr milliseconds longestBlock{1200};
/// Back-off for an upstream that reports that it is full.
constexpr milliseconds fullBlock{30};
constexpr int mostDoublings = 4;
/// Lower bound on the rate of requests per second to a limited upstream: the end of a limit can
/// only be learned from a response.
constexpr double leastLimit = 0.2;
/// How long the state of a gone upstream is kept; it is not expected to be listed again later.
constexpr std::chrono::minutes goneRetention{10};

/// Requests that the upstream should have at most, if nothing restricts it.
int placesAt(const UpstreamState &upstream, TimePoint now)
{
    const int slots = upstream.occupancy.slots(upstream.record.slots, now);
    if (upstream.engine)
        return slots;
    return upstream.occupancy.hasReading() ? slots + static_cast<int>(slots * statedQueueing)
                                           : slots * plainQueueing;
}

/// Saturating subtraction.
void subtractSaturating(std::uint32_t &value, std::uint32_t by)
{
    value -= std::min(value, by);
}

} // namespace

UpstreamKey upstreamKey(const UpstreamRecord &record)
{
    return fnv1a(record.id + '@' + std::to_string(record.born));
}

template <std::predicate<const UpstreamState &> IsObsolete>
void UpstreamTable::eraseUpstreams(IsObsolete isObsolete)
{
    const auto isErased = [&](const auto &item) { return isObsolete(*item.second); };
    std::erase_if(m_lastListed, isErased);
    std::erase_if(m_byKey, isErased);
}

std::vector<UpstreamPtr> UpstreamTable::assign(const std::vector<UpstreamRecord> &records)
{
    std::vector<UpstreamPtr> restricted;
    std::unordered_set<UpstreamKey> present;
    for (auto &[name, service] : m_services)
        service.upstreams.clear();
    for (const UpstreamRecord &record : records) {
        const UpstreamKey key = upstreamKey(record);
        present.insert(key);
        UpstreamPtr &upstream = m_byKey[key];
        const bool isNew = !upstream;
        if (isNew)
            upstream = std::make_shared<UpstreamState>();
        upstream->record = record;
        upstream->key = key;
        if (isNew)
            rankEntries(*upstream);
        upstream->drained = upstream->drained || record.draining;
        upstream->gone = upstream->drained;
        upstream->engine = m_engines.contains(record.service);
        if (!upstream->gone)
            m_services[record.service].upstreams.push_back(upstream);
        const UpstreamPtr former = std::exchange(m_lastListed[record.id], upstream);
        if (former && former != upstream && upstream->terms.inherit(former->terms))
            restricted.push_back(upstream);
    }
    for (const auto &[key, upstream] : m_byKey)
        upstream->gone = upstream->gone || !present.contains(key);
    eraseUpstreams([&present](const UpstreamState &upstream) {
        return !present.contains(upstream.key) && upstream.own.inFlight == 0
               && !upstream.isRestricted();
    });
    divide();
    return restricted;
}

void UpstreamTable::setGroups(std::size_t groups, std::size_t own)
{
    m_groups = groups;
    m_ownGroup = own;
    divide();
}

void UpstreamTable::divide()
{
    for (auto &[name, service] : m_services) {
        const bool divided =
            m_groups > 1 && service.upstreams.size() >= m_groups * leastUpstreamsPerGroup;
        std::vector<GroupItem> items;
        items.reserve(service.upstreams.size());
        for (const UpstreamPtr &upstream : service.upstreams)
            items.push_back({upstream->record.dataCentre, upstream->key});
        const std::vector<std::size_t> groupOf = divideEvenly(items, divided ? m_groups : 1);
        service.ofOwnGroup.clear();
        for (std::size_t i = 0; i < items.size(); ++i) {
            const UpstreamPtr &upstream = service.upstreams[i];
            upstream->shared = !divided;
            upstream->foreign = divided && groupOf[i] != m_ownGroup;
            if (!upstream->foreign)
                service.ofOwnGroup.push_back(upstream);
        }
    }
}

UpstreamPtr UpstreamTable::otherIncarnation(const UpstreamState &upstream) const
{
    const auto listed = m_lastListed.find(upstream.record.id);
    const bool isOther = listed != m_lastListed.end() && listed->second->key != upstream.key;
    return isOther ? listed->second : nullptr;
}

StreamOrigin UpstreamTable::originAt(const UpstreamState &upstream, StreamKey stream,
                                     TimePoint now) const
{
    const UpstreamRecord &record = upstream.record;
    const bool ambiguous =
        now < upstream.restartSuspectedUntil || otherIncarnation(upstream) != nullptr;
    return {stream, record.id, record.born, record.version, ambiguous};
}

void UpstreamTable::suspectRestart(UpstreamState &upstream, TimePoint until)
{
    upstream.restartSuspectedUntil = std::max(upstream.restartSuspectedUntil, until);
}

void UpstreamTable::recordUnreachable(UpstreamState &upstream, TimePoint now)
{
    suspectRestart(upstream, now + longestRestart);
    upstream.wasUnreachable = true;
}

void UpstreamTable::recordProcess(UpstreamState &upstream, ProcessIdentity process, TimePoint now)
{
    if (process == ProcessIdentity::Lost)
        return;
    const bool isBack = std::exchange(upstream.wasUnreachable, false);
    switch (process) {
    case ProcessIdentity::AsListed:
        upstream.restartSuspectedUntil = {};
        upstream.unlistedUntil = {};
        break;
    case ProcessIdentity::Other:
        suspectRestart(upstream, now + listingDelay);
        upstream.unlistedUntil = now + listingDelay;
        break;
    default:
        if (isBack)
            upstream.unlistedUntil = now + listingDelay;
    }
}

std::vector<UpstreamPtr> UpstreamTable::restartSuspects(std::string_view service,
                                                        TimePoint now) const
{
    std::vector<UpstreamPtr> suspects;
    std::ranges::copy_if(
        ofService(service), std::back_inserter(suspects),
        [now](const UpstreamPtr &upstream) { return now < upstream->restartSuspectedUntil; });
    return suspects;
}

bool UpstreamTable::isCertain(const StreamOrigin &origin) const
{
    const auto listed = m_lastListed.find(origin.upstreamId);
    const bool hasChanged = listed != m_lastListed.end()
                            && listed->second->record.born != origin.born
                            && listed->second->record.version != origin.version;
    return !origin.ambiguous && !hasChanged;
}

bool UpstreamTable::haveVersions(const std::map<std::string, std::string> &versions) const
{
    return std::ranges::all_of(m_services, [&versions](const auto &service) {
        const auto &upstreams = service.second.upstreams;
        const auto version = versions.find(service.first);
        return upstreams.empty()
               || (version != versions.end()
                   && std::ranges::all_of(upstreams, [&](const UpstreamPtr &upstream) {
                          return upstream->record.version == version->second;
                      }));
    });
}

UpstreamPtr UpstreamTable::ofOtherVersion(std::string_view service, std::string_view version) const
{
    const auto &upstreams = ofService(service);
    const auto found = std::ranges::find_if(upstreams, [version](const UpstreamPtr &upstream) {
        return upstream->record.version != version;
    });
    return found == upstreams.end() ? nullptr : *found;
}

UpstreamPtr UpstreamTable::withUnlistedProcess(std::string_view service, TimePoint now) const
{
    const auto &upstreams = ofService(service);
    const auto found = std::ranges::find_if(
        upstreams, [now](const UpstreamPtr &upstream) { return now < upstream->unlistedUntil; });
    return found == upstreams.end() ? nullptr : *found;
}

bool UpstreamTable::offersVersion(std::string_view service, std::string_view version) const
{
    return std::ranges::any_of(ofService(service), [version](const UpstreamPtr &upstream) {
        return !upstream->gone && !upstream->terms.isLeaving()
               && upstream->record.version == version;
    });
}

std::vector<UpstreamPtr> UpstreamTable::unconfirmed(TimePoint now) const
{
    std::vector<UpstreamPtr> found;
    for (const auto &[key, upstream] : m_byKey) {
        const UpstreamTerms &terms = upstream->terms;
        if (!upstream->gone && terms.isLeavingUnconfirmed() && now >= terms.closedUntil())
            found.push_back(upstream);
    }
    return found;
}

void UpstreamTable::setEngines(const std::set<std::string> &services)
{
    m_engines = services;
    for (const auto &[key, upstream] : m_byKey)
        upstream->engine = m_engines.contains(upstream->record.service);
}

void UpstreamTable::setOthers(const std::unordered_map<UpstreamKey, UpstreamLoad> &loads)
{
    for (const auto &[key, upstream] : m_byKey) {
        const auto found = loads.find(key);
        upstream->others = found == loads.end() ? UpstreamLoad{} : found->second;
    }
}

const std::vector<UpstreamPtr> &UpstreamTable::ofService(std::string_view service) const
{
    static const std::vector<UpstreamPtr> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second.upstreams;
}

const std::vector<UpstreamPtr> &UpstreamTable::ofOwnGroup(std::string_view service) const
{
    static const std::vector<UpstreamPtr> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second.ofOwnGroup;
}

std::vector<std::pair<UpstreamPtr, TermsChanges>>
UpstreamTable::setReports(std::unordered_map<UpstreamKey, std::vector<ReceivedTerms>> reports)
{
    std::vector<std::pair<UpstreamPtr, TermsChanges>> changed;
    for (const auto &[key, upstream] : m_byKey) {
        const auto found = reports.find(key);
        if (found == reports.end() && !upstream->terms.hasReports())
            continue;
        auto rows =
            found == reports.end() ? std::vector<ReceivedTerms>() : std::move(found->second);
        const TermsChanges changes = upstream->terms.setReports(std::move(rows));
        if (changes.any())
            changed.emplace_back(upstream, changes);
    }
    return changed;
}

void UpstreamTable::removeGone(TimePoint now)
{
    for (const auto &[key, upstream] : m_byKey)
        upstream->goneSince =
            upstream->gone ? std::optional(upstream->goneSince.value_or(now)) : std::nullopt;
    eraseUpstreams([now](const UpstreamState &upstream) {
        return upstream.goneSince && now - *upstream.goneSince > goneRetention
               && upstream.own.inFlight == 0;
    });
}

void UpstreamTable::shareLimits(const LimitMembers &members, const LimitMembers &group)
{
    // Only the members of a group send to its upstreams, so only they hold limits of these.
    for (const auto &[key, upstream] : m_byKey) {
        const auto limit = upstream->terms.limitPerSecond();
        if (!limit)
            continue;
        const LimitMembers &sharing = upstream->shared ? members : group;
        upstream->terms.setShare(
            upstream->foreign ? 0 : limitShare(key, std::max(*limit, leastLimit), sharing));
    }
}

std::vector<TermsReport> UpstreamTable::termsReports(TimePoint now) const
{
    std::vector<TermsReport> rows;
    for (const auto &[key, upstream] : m_byKey)
        if (const auto terms = upstream->terms.report(key, now))
            rows.push_back(*terms);
    return rows;
}

template <std::predicate<const UpstreamTerms &> Holds>
std::size_t UpstreamTable::countTerms(Holds holds) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_byKey, [&](const auto &item) { return holds(item.second->terms); }));
}

std::size_t UpstreamTable::limited() const
{
    return countTerms([](const UpstreamTerms &terms) { return terms.isLimited(); });
}

std::size_t UpstreamTable::leaving() const
{
    return countTerms([](const UpstreamTerms &terms) { return terms.isLeaving(); });
}

std::size_t UpstreamTable::closed(TimePoint now) const
{
    return countTerms([now](const UpstreamTerms &terms) { return now < terms.closedUntil(); });
}

std::optional<TimePoint> UpstreamTable::opensAt(std::string_view service, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const UpstreamPtr &upstream : ofService(service)) {
        if (upstream->gone || upstream->terms.isLeaving())
            continue;
        const TimePoint opens = upstream->terms.closedUntil();
        if (opens <= now)
            return std::nullopt;
        first = std::min(first.value_or(opens), opens);
    }
    return first;
}

void UpstreamTable::started(UpstreamState &upstream, std::uint32_t promptTokens, TimePoint now)
{
    upstream.terms.countSend(now);
    m_services[upstream.record.service].starts.add(now);
    ++upstream.own.inFlight;
    upstream.own.prefillTokens += promptTokens;
}

void UpstreamTable::firstToken(UpstreamState &upstream, std::uint32_t promptTokens)
{
    subtractSaturating(upstream.own.prefillTokens, promptTokens);
}

void UpstreamTable::ended(UpstreamState &upstream)
{
    subtractSaturating(upstream.own.inFlight, 1);
}

void UpstreamTable::recordFirstToken(UpstreamState &upstream, std::uint32_t tokens, Duration took)
{
    EngineTimeModel &model = m_services[upstream.record.service].model;
    const double factor = model.learn(upstream.factor, tokens, took);
    if (!upstream.paceKnown)
        upstream.factor = factor;
}

void UpstreamTable::recordEvents(UpstreamState &upstream, std::uint32_t events, Duration took)
{
    if (events < EngineTimeModel::minPaceEvents)
        return;
    EngineTimeModel &model = m_services[upstream.record.service].model;
    upstream.factor = model.learnEvents(upstream.factor, events, took);
    upstream.paceKnown = true;
}

void UpstreamTable::recordHealth(UpstreamState &upstream, HealthSignal sign, TimePoint now)
{
    if (sign == HealthSignal::Full) {
        upstream.blockedUntil = std::max(upstream.blockedUntil, now + fullBlock);
        return;
    }
    const double failed = sign == HealthSignal::Good ? 0 : 1;
    upstream.failureShare += failureSampleShare * (failed - upstream.failureShare);
    if (sign == HealthSignal::Good) {
        upstream.failuresInRow = 0;
        return;
    }
    ++upstream.failuresInRow;
    const bool troubled =
        sign == HealthSignal::Unreachable || upstream.failureShare > troubledShare;
    if (!troubled)
        return;
    const int doublings = std::min(upstream.failuresInRow - 1, mostDoublings);
    const Duration block = std::min<Duration>(firstBlock * (1 << doublings), longestBlock);
    upstream.blockedUntil = std::max(upstream.blockedUntil, now + block);
}

const EngineTimeModel &UpstreamTable::model(std::string_view service) const
{
    static const EngineTimeModel defaultModel;
    const auto found = m_services.find(service);
    return found == m_services.end() ? defaultModel : found->second.model;
}

int UpstreamTable::limit(const UpstreamState &upstream, TimePoint now)
{
    if (upstream.gone || now < upstream.blockedUntil)
        return 0;
    if (!upstream.terms.admits(now))
        return 0;
    const bool probing = upstream.failuresInRow > 0 && upstream.failureShare > troubledShare;
    if (probing)
        return 1;
    const int places = placesAt(upstream, now);
    // The share of a limit admits one request at a time.
    return upstream.terms.isLimited()
               ? std::min(places, static_cast<int>(upstream.requests(now)) + 1)
               : places;
}

int UpstreamTable::freePlaces(const UpstreamState &upstream, TimePoint now)
{
    return std::max(0, limit(upstream, now) - static_cast<int>(upstream.requests(now)));
}

bool UpstreamTable::withholdVersions(std::string_view service,
                                     const std::set<std::string> &versions)
{
    bool changed = false;
    for (const UpstreamPtr &upstream : ofService(service)) {
        const bool withheld = versions.contains(upstream->record.version);
        changed |= std::exchange(upstream->versionWithheld, withheld) != withheld;
    }
    return changed;
}

std::map<std::string, std::set<std::string>> UpstreamTable::versions() const
{
    std::map<std::string, std::set<std::string>> versions;
    for (const auto &[service, state] : m_services)
        for (const UpstreamPtr &upstream : state.upstreams)
            versions[service].insert(upstream->record.version);
    return versions;
}

bool UpstreamTable::isWithheld(std::string_view service, std::string_view version) const
{
    return std::ranges::any_of(ofService(service), [version](const UpstreamPtr &upstream) {
        return upstream->versionWithheld && upstream->record.version == version;
    });
}

const std::vector<UpstreamPtr> &UpstreamTable::withPlaces(std::string_view service,
                                                          TimePoint now) const
{
    const auto &own = ofOwnGroup(service);
    const bool isUsable = std::ranges::any_of(own, [now](const UpstreamPtr &upstream) {
        return !upstream->versionWithheld && limit(*upstream, now) > 0;
    });
    return isUsable ? own : ofService(service);
}

int UpstreamTable::places(std::string_view service, TimePoint now) const
{
    const auto &upstreams = withPlaces(service, now);
    return std::accumulate(upstreams.begin(), upstreams.end(), 0,
                           [now](int sum, const auto &each) { return sum + limit(*each, now); });
}

int UpstreamTable::freePlaces(std::string_view service, TimePoint now) const
{
    const auto &upstreams = withPlaces(service, now);
    return std::accumulate(upstreams.begin(), upstreams.end(), 0, [now](int sum, const auto &each) {
        return sum + (each->versionWithheld ? 0 : freePlaces(*each, now));
    });
}

void UpstreamTable::recordOccupancy(UpstreamState &upstream, const UpstreamOccupancy &stated,
                                    TimePoint now)
{
    upstream.occupancy.record(stated, now, upstream.inFlight(), true);
}

void UpstreamTable::applyOccupancies(
    const std::vector<std::pair<ReportedOccupancy, TimePoint>> &received)
{
    for (const auto &[report, readAt] : received) {
        const auto found = m_byKey.find(report.upstream);
        if (found == m_byKey.end())
            continue;
        UpstreamState &upstream = *found->second;
        upstream.occupancy.record(report.stated, readAt, upstream.inFlight(), false);
    }
}

std::vector<ReportedOccupancy> UpstreamTable::occupancyReports(TimePoint now) const
{
    std::vector<ReportedOccupancy> reports;
    for (const auto &[key, upstream] : m_byKey)
        if (const auto report = upstream->occupancy.report(key, now))
            reports.push_back(*report);
    return reports;
}

void UpstreamTable::rankEntries(std::string_view own, const std::set<std::string> &others)
{
    if (own == m_rankedEntry && others == m_rankedOthers)
        return;
    m_rankedEntry = own;
    m_rankedOthers = others;
    for (const auto &[key, upstream] : m_byKey)
        rankEntries(*upstream);
}

void UpstreamTable::rankEntries(UpstreamState &upstream) const
{
    const auto place = [&](std::string_view entry) { return mixBits(fnv1a(entry), upstream.key); };
    const std::uint64_t own = place(m_rankedEntry);
    upstream.rank.before = static_cast<std::uint32_t>(std::ranges::count_if(
        m_rankedOthers, [&](const std::string &entry) { return place(entry) < own; }));
}

double UpstreamTable::startsPerSecond(std::string_view service, TimePoint now) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.starts.perSecond(now);
}

std::vector<std::pair<UpstreamKey, UpstreamLoad>> UpstreamTable::ownLoads() const
{
    std::vector<std::pair<UpstreamKey, UpstreamLoad>> loads;
    for (const auto &[key, upstream] : m_byKey)
        if (upstream->own != UpstreamLoad{})
            loads.emplace_back(key, upstream->own);
    return loads;
}

} // namespace tamarack
