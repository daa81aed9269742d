#include "support/CrashSimulation.h"

#include <algorithm>

namespace tamarack::harness {

namespace {

constexpr TimePoint start{std::chrono::seconds(1000)};
constexpr std::chrono::seconds crashesFrom{5};
constexpr std::chrono::seconds stableBound{3};
constexpr std::size_t crashBound = 5;
constexpr std::size_t slots = 6;
constexpr PromptPartId crashingPart = 0xbad0;
constexpr std::uint64_t middlePartBase = 1000;
constexpr std::uint64_t lastPartBase = 1'000'000;
constexpr milliseconds timeToFirstToken{80};
constexpr milliseconds detectionTime{45};
constexpr milliseconds startTime{500};

} // namespace

CrashSimulation::CrashSimulation(const CrashSimulationOptions &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_now(start)
    , m_end(start + std::chrono::seconds(options.seconds))
    , m_entries(options.entries)
    , m_upstreams(options.upstreams)
{
    for (Entry &entry : m_entries)
        restart(entry);
    for (Upstream &upstream : m_upstreams)
        upstream.key = ++m_lastNumber;
}

CrashSimulationResult CrashSimulation::run()
{
    arrivals(m_options.soundPerSecond, false);
    schedule(crashesFrom, [this] { arrivals(m_options.crashingPerSecond, true); });
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        exchange(i);
    disturbEntry();
    crashTogether();
    for (const int second : m_options.commonRestarts)
        schedule(std::chrono::seconds(second), [this] {
            for (Entry &entry : m_entries) {
                restart(entry);
                entry.disturbedUntil = m_now + startTime + stableBound;
            }
        });
    while (!m_events.empty() && m_events.begin()->first < m_end) {
        const auto next = m_events.extract(m_events.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_result.crashes = m_crashTimes.size();
    return m_result;
}

void CrashSimulation::restart(Entry &entry)
{
    entry.quarantine = std::make_unique<PartQuarantine>();
    entry.incarnation = ++m_lastNumber;
}

void CrashSimulation::schedule(Duration after, std::function<void()> action)
{
    m_events.emplace(m_now + after, std::move(action));
}

double CrashSimulation::uniform(double from, double to)
{
    return std::uniform_real_distribution(from, to)(m_random);
}

Duration CrashSimulation::randomTime(milliseconds from, milliseconds to)
{
    const auto low = static_cast<double>(from.count());
    const auto high = static_cast<double>(to.count());
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(uniform(low, high)));
}

void CrashSimulation::arrivals(double perSecond, bool crashing)
{
    if (perSecond <= 0)
        return;
    const double gap = std::exponential_distribution(perSecond)(m_random);
    schedule(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
             [this, perSecond, crashing] {
                 send(makeRequest(crashing));
                 arrivals(perSecond, crashing);
             });
}

CrashSimulation::Request CrashSimulation::makeRequest(bool crashing)
{
    const auto below = [this](std::size_t bound) {
        return static_cast<std::uint64_t>(uniform(0, static_cast<double>(bound)));
    };
    Request request;
    const std::uint64_t first = crashing ? 1 : 1 + below(m_options.firstParts);
    request.prompt.push_back({first, 60});
    const std::uint64_t middle = below(m_options.middleParts);
    const bool usesCrashing =
        crashing
        || (m_options.crashesKnownPart && first == 1 && middle < 3 && m_now < start + crashesFrom);
    if (usesCrashing)
        request.prompt.push_back({crashingPart, 100});
    if (m_options.middleParts > 0)
        request.prompt.push_back({middlePartBase + middle, 100});
    request.prompt.push_back({lastPartBase + ++m_lastNumber, 50});
    request.entry = below(m_entries.size());
    request.crashes = crashing;
    return request;
}

void CrashSimulation::send(Request request)
{
    PartQuarantine &quarantine = *m_entries[request.entry].quarantine;
    const bool late =
        m_crashTimes.size() >= crashBound && m_now > m_crashTimes[crashBound - 1] + stableBound;
    const bool veryLate = late && m_now > m_crashTimes[crashBound - 1] + 2 * stableBound;
    const bool counts = !request.crashes && request.attempts == 1 && !isDisturbed(request.entry);
    const bool sharesFirst = counts && veryLate && request.prompt.front().id == 1;
    m_result.sound += sharesFirst ? 1 : 0;
    m_result.allSound += counts ? 1 : 0;
    request.isTrial = false;
    if (quarantine.isQuarantined(request.prompt)) {
        request.isTrial = request.attempts == 1 && quarantine.tryTrial(request.prompt, m_now);
        if (!request.isTrial) {
            m_result.soundRefused += sharesFirst ? 1 : 0;
            m_result.allSoundRefused += counts ? 1 : 0;
            return;
        }
    }
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < m_upstreams.size(); ++i)
        if (m_upstreams[i].up && m_upstreams[i].running.size() < slots)
            open.push_back(i);
    if (open.empty())
        return;
    const std::size_t chosen =
        open[static_cast<std::size_t>(uniform(0, static_cast<double>(open.size())))];
    if (request.crashes && late && !isDisturbed(request.entry))
        ++m_result.lateCrashingSends;
    const std::uint64_t number = ++m_lastNumber;
    const bool crashes = request.crashes;
    m_upstreams[chosen].running.emplace(number, std::move(request));
    const Duration took =
        crashes ? Duration(timeToFirstToken) : randomTime(milliseconds(150), milliseconds(1500));
    schedule(took, [this, chosen, number] { end(chosen, number); });
}

void CrashSimulation::end(std::size_t upstream, std::uint64_t number)
{
    const auto found = m_upstreams[upstream].running.find(number);
    if (found == m_upstreams[upstream].running.end())
        return;
    if (found->second.crashes) {
        m_crashTimes.push_back(m_now);
        crash(upstream);
        return;
    }
    m_entries[found->second.entry].quarantine->addAnswer(found->second.prompt, m_now);
    m_upstreams[upstream].running.erase(found);
}

void CrashSimulation::crash(std::size_t number)
{
    Upstream &upstream = m_upstreams[number];
    if (!upstream.up)
        return;
    upstream.up = false;
    std::map<std::size_t, std::vector<Request>> byEntry;
    for (auto &[id, request] : std::exchange(upstream.running, {}))
        byEntry[request.entry].push_back(std::move(request));
    for (auto &[entry, broken] : byEntry)
        reportCrash(entry, broken, upstream.key, m_now);
    schedule(randomTime(milliseconds(1500), milliseconds(4000)), [this, number] {
        m_upstreams[number].key = ++m_lastNumber;
        m_upstreams[number].up = true;
    });
}

void CrashSimulation::reportCrash(std::size_t entry, const std::vector<Request> &broken,
                                  UpstreamKey key, TimePoint at)
{
    schedule(detectionTime, [this, entry, broken, key, at] {
        std::vector<PartCrash> rows;
        for (const Request &request : broken) {
            std::uint16_t position = 0;
            for (const PromptPart &part : PartQuarantine::sharedParts(request.prompt))
                rows.push_back({part.id, key, position++});
        }
        m_entries[entry].quarantine->addCrash(rows, at);
        for (Request request : broken)
            if (++request.attempts <= 2)
                send(std::move(request));
    });
}

void CrashSimulation::exchange(std::size_t entry)
{
    const PartQuarantine &from = *m_entries[entry].quarantine;
    const auto crashes = from.crashes(m_now);
    const auto answers = from.answers(m_now);
    for (std::size_t to = 0; to < m_entries.size(); ++to) {
        if (to == entry || isDisturbed(entry) || isDisturbed(to)
            || uniform(0, 1) < m_options.messageLoss)
            continue;
        schedule(randomTime(milliseconds(1), milliseconds(60)), [this, entry, to, crashes,
                                                                 answers] {
            m_entries[to].quarantine->merge(crashes, answers, m_entries[entry].incarnation, m_now);
        });
    }
    m_entries[entry].quarantine->removeExpired(m_now);
    m_entries[entry].quarantine->setTrialOwner(
        [&](PromptPartId part) { return part % m_entries.size() == entry; });
    schedule(m_options.messageInterval, [this, entry] { exchange(entry); });
}

void CrashSimulation::disturbEntry()
{
    if (!m_options.disturbsEntries)
        return;
    schedule(randomTime(milliseconds(1000), milliseconds(12'000)), [this] {
        const auto chosen =
            static_cast<std::size_t>(uniform(0, static_cast<double>(m_entries.size())));
        Entry &entry = m_entries[chosen];
        if (uniform(0, 1) < 0.5)
            restart(entry);
        // The rules count an entry again only once it has been undisturbed for the bound; its
        // messages are lost for the first part of that time.
        entry.disturbedUntil = m_now + randomTime(milliseconds(500), milliseconds(5000));
        disturbEntry();
    });
}

void CrashSimulation::crashTogether()
{
    if (m_options.commonCrashInterval <= 0)
        return;
    const double gap = std::exponential_distribution(1 / m_options.commonCrashInterval)(m_random);
    schedule(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)), [this] {
        const double share = uniform(0, 1) < 0.2 ? 1 : uniform(0.1, 0.6);
        for (std::size_t i = 0; i < m_upstreams.size(); ++i)
            if (uniform(0, 1) < share)
                crash(i);
        crashTogether();
    });
}

} // namespace tamarack::harness
