#include "fleet/FollowerElection.h"
#include "fleet/ProofRelay.h"
#include "fleet/StoreWatchPolicy.h"
#include "fleet/UpstreamLog.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <variant>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

std::vector<FleetMember> members(int perDataCentre)
{
    std::vector<FleetMember> all;
    for (const char *dataCentre : {"north", "south"})
        for (int i = 0; i < perDataCentre; ++i)
            all.push_back({std::string(dataCentre) + '-' + std::to_string(i), dataCentre});
    return all;
}

/// Simulates a follower and an entry that relies on it, whose clocks have different origins. Their
/// link drops, delays, duplicates and reorders datagrams, either side may be suspended, and the
/// store is restored from older copies, whose revisions it assigns again. `m_now` is the
/// simulation's own time.
class ProofSchedule
{
public:
    explicit ProofSchedule(std::uint64_t seed)
        : m_random(seed)
    {}

    /// Simulates about 30 s. Returns false if the requester considered a version proved at a time
    /// when a newer one was in force, or if its upstreams differ from those at its position.
    bool runAndCheck()
    {
        for (m_now = milliseconds(1); m_now < seconds(30); m_now += milliseconds(draw(1, 120))) {
            step();
            if (m_proved && versionsAt(*m_proved) > m_requesterVersion)
                return false;
            if (m_requesterUpstreams.names != upstreamsAt(m_requesterUpstreams.position))
                return false;
        }
        return true;
    }

private:
    struct Datagram
    {
        BootTime at{};
        std::variant<ProofRequest, ProofResponse> content;
    };

    /// Adds or removes one of three upstreams at random.
    void changeUpstream()
    {
        const auto which = static_cast<std::size_t>(draw(0, 2));
        UpstreamChange change;
        change.record.id = std::to_string(which);
        change.removed = draw(0, 1) == 0;
        const StorePosition former = m_position;
        ++m_position.revision;
        m_changes.push_back({former, m_position, {change}});
        upstreamsAt(m_position) = apply(upstreamsAt(former), change);
    }

    /// Restores the store as of a few changes ago.
    void restoreStore()
    {
        const StorePosition copied{m_position.era,
                                   m_position.revision
                                       - std::min<std::uint64_t>(m_position.revision, draw(0, 9))};
        std::erase_if(m_changes, [&](const UpstreamDelta &each) { return copied < each.position; });
        for (UpstreamDelta &each : m_changes)
            each.since.era = each.position.era = copied.era + 1;
        m_position = {copied.era + 1, copied.revision};
        upstreamsAt(m_position) = upstreamsAt(copied);
    }

    std::set<std::string> &upstreamsAt(StorePosition position)
    {
        return m_upstreamsAt[{position.era, position.revision}];
    }

    static std::set<std::string> apply(std::set<std::string> upstreams,
                                       const UpstreamChange &change)
    {
        upstreams.erase(change.record.id);
        if (!change.removed)
            upstreams.insert(change.record.id);
        return upstreams;
    }

    /// Simulates a watch that returns the changes since its position, or a full listing because the
    /// history has expired.
    void followUpstreams()
    {
        const bool restored = m_log.position().era != m_position.era;
        if (restored || draw(0, 30) == 0) {
            m_log.restart(m_position);
            return;
        }
        UpstreamDelta delta{m_log.position(), m_position, {}};
        for (const UpstreamDelta &each : m_changes)
            if (m_log.position() < each.position)
                delta.changes.push_back(each.changes.front());
        m_log.append(delta);
    }

    void applyUpstreams(const UpstreamDelta &delta)
    {
        const StorePosition known = m_requesterUpstreams.position;
        const bool continuesList = delta.since <= known && known <= delta.position;
        if (!continuesList)
            return;
        for (const UpstreamChange &change : delta.changes)
            m_requesterUpstreams.names = apply(m_requesterUpstreams.names, change);
        m_requesterUpstreams.position = delta.position;
    }

    std::size_t versionsAt(BootTime time) const
    {
        return static_cast<std::size_t>(
            std::distance(m_versionAt.begin(), m_versionAt.upper_bound(time)));
    }

    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
    }

    /// Delivers zero, one or two copies of the datagram, each with its own delay.
    void send(std::vector<Datagram> &link, const std::variant<ProofRequest, ProofResponse> &content)
    {
        for (std::int64_t copies = draw(0, 2); copies > 0; --copies) {
            const std::int64_t delay = draw(0, 9) == 0 ? draw(500, 6000) : draw(1, 40);
            link.push_back({m_now + milliseconds(delay), content});
        }
    }

    template <typename Receive>
    void deliver(std::vector<Datagram> &link, Receive receive)
    {
        const auto due =
            std::ranges::partition(link, [this](const Datagram &each) { return each.at > m_now; });
        const std::vector<Datagram> arrived(due.begin(), due.end());
        link.erase(due.begin(), due.end());
        for (const Datagram &each : arrived)
            receive(each.content);
    }

    void step()
    {
        if (draw(0, 40) == 0)
            m_versionAt.insert(m_now);
        if (draw(0, 4) == 0)
            changeUpstream();
        if (draw(0, 60) == 0)
            restoreStore();
        if (draw(0, 60) == 0)
            m_followerSuspendedUntil = m_now + milliseconds(draw(100, 5000));
        if (draw(0, 60) == 0)
            m_requesterSuspendedUntil = m_now + milliseconds(draw(100, 5000));
        if (m_now >= m_followerSuspendedUntil)
            stepFollower();
        if (m_now >= m_requesterSuspendedUntil)
            stepRequester();
    }

    void stepFollower()
    {
        // A store call returns the state as of some time after the call started.
        if (m_callStart && draw(0, 2) == 0) {
            m_followerVersion = m_versionAt.size();
            m_freshness.recordProof(*m_callStart + followerClock);
            m_callStart.reset();
        } else if (!m_callStart) {
            m_callStart = m_now;
        }
        if (draw(0, 2) == 0)
            followUpstreams();
        deliver(m_toFollower, [this](const auto &content) {
            const auto response =
                ProofRelay::makeResponse(std::get<ProofRequest>(content), m_followerVersion,
                                         m_freshness, m_log, m_now + followerClock);
            if (response)
                send(m_toRequester, *response);
        });
    }

    void stepRequester()
    {
        if (draw(0, 40) == 0)
            m_requesterUpstreams = {m_position, upstreamsAt(m_position)};
        if (const auto request =
                m_relay.nextRequest({"follower"}, TimePoint{m_now}, m_now + requesterClock,
                                    m_requesterUpstreams.position))
            send(m_toFollower, request->second);
        deliver(m_toRequester, [this](const auto &content) {
            const auto &response = std::get<ProofResponse>(content);
            if (m_relay.isRequester(response) && response.upstreams)
                applyUpstreams(*response.upstreams);
            // The requester reads the newer configuration from the store itself.
            m_requesterVersion = std::max<std::size_t>(m_requesterVersion, response.configVersion);
            if (const auto provedAt = m_relay.proofTime(response, m_requesterVersion))
                m_proved = std::max(m_proved.value_or(BootTime{}), *provedAt - requesterClock);
        });
    }

    static constexpr BootTime followerClock = seconds(5000);
    static constexpr BootTime requesterClock = seconds(70);

    std::mt19937_64 m_random;
    BootTime m_now{};
    /// The time at which each version came into force.
    std::set<BootTime> m_versionAt{BootTime{}};
    std::vector<Datagram> m_toFollower;
    std::vector<Datagram> m_toRequester;
    BootTime m_followerSuspendedUntil{};
    BootTime m_requesterSuspendedUntil{};
    std::optional<BootTime> m_callStart;
    std::size_t m_followerVersion = 0;
    FreshnessGuard m_freshness{seconds(5), milliseconds(1250)};
    ProofRelay m_relay{7};
    std::size_t m_requesterVersion = 0;
    struct Known
    {
        StorePosition position{1, 0};
        std::set<std::string> names;
    };
    Known m_requesterUpstreams;
    StorePosition m_position{1, 0};
    std::vector<UpstreamDelta> m_changes;
    /// Upstreams by era and revision.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::set<std::string>> m_upstreamsAt;
    UpstreamLog m_log;
    std::optional<BootTime> m_proved;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetSuite)

BOOST_AUTO_TEST_CASE(eachDataCentreElectsItsOwnFollowers)
{
    const auto all = members(20);
    const auto north = electFollowers(all, "north");
    BOOST_TEST(north.size() == followersPerDataCentre);
    BOOST_TEST(std::ranges::all_of(
        north, [](const std::string &name) { return name.starts_with("north"); }));
    auto shuffled = all;
    std::ranges::reverse(shuffled);
    BOOST_TEST(electFollowers(shuffled, "north") == north);
    BOOST_TEST(electFollowers(std::span(all).first(1), "north").size() == 1U);
    BOOST_TEST(electFollowers({}, "north").empty());
}

BOOST_AUTO_TEST_CASE(leavingOrMissingFollowerIsReplacedAndTheOtherRemains)
{
    auto all = members(20);
    const auto before = electFollowers(all, "south");
    for (FleetMember &member : all)
        member.leaving = member.name == before[0];
    const auto after = electFollowers(all, "south");
    BOOST_TEST(after[0] == before[1]);
    BOOST_TEST(after.size() == followersPerDataCentre);
    std::erase_if(all, [&](const FleetMember &member) { return member.name == before[0]; });
    BOOST_TEST(electFollowers(all, "south") == after);
}

BOOST_AUTO_TEST_CASE(entryWatchesTheStoreWithoutRecentProofs)
{
    const BootTime start = seconds(100);
    StoreWatchPolicy watchPolicy;
    BOOST_TEST(watchPolicy.watchesStore(start));
    watchPolicy.setElected(false);
    BOOST_TEST(watchPolicy.watchesStore(start));
    watchPolicy.applyProof(start);
    watchPolicy.applyProof(start - seconds(1));
    BOOST_TEST(!watchPolicy.watchesStore(start + StoreWatchPolicy::maxProofAge));
    BOOST_TEST(watchPolicy.watchesStore(start + StoreWatchPolicy::maxProofAge + milliseconds(1)));
    watchPolicy.applyProof(start + seconds(9));
    BOOST_TEST(!watchPolicy.watchesStore(start + seconds(10)));
    watchPolicy.setElected(true);
    BOOST_TEST(watchPolicy.watchesStore(start + seconds(10)));
}

BOOST_AUTO_TEST_CASE(reportedUpdatesTriggerOneStoreRead)
{
    StoreWatchPolicy watchPolicy;
    watchPolicy.recordReportedConfig(7);
    const TimePoint start{seconds(100)};
    const StorePosition known{1, 39};
    watchPolicy.recordReportedUpstreams({1, 40}, known, start);
    watchPolicy.recordReportedUpstreams({1, 41}, known, start + StoreWatchPolicy::relayTimeout);
    const TimePoint late = start + StoreWatchPolicy::relayTimeout + milliseconds(1);
    BOOST_TEST(watchPolicy.isConfigBehind(6));
    BOOST_TEST(!watchPolicy.isConfigBehind(7));
    BOOST_TEST(!watchPolicy.areUpstreamsBehind(known, start + StoreWatchPolicy::relayTimeout));
    BOOST_TEST(watchPolicy.areUpstreamsBehind(known, late));
    BOOST_TEST(!watchPolicy.areUpstreamsBehind({1, 41}, late));
    // After a restore, a lower revision of the new era is ahead.
    BOOST_TEST(!watchPolicy.areUpstreamsBehind({2, 5}, late));
    watchPolicy.recordReportedUpstreams({2, 5}, {1, 41}, late);
    BOOST_TEST(watchPolicy.areUpstreamsBehind({1, 41}, late + StoreWatchPolicy::relayTimeout
                                                           + milliseconds(1)));
    // The store's version takes precedence over versions reported by entries.
    watchPolicy.configRead(6);
    BOOST_TEST(!watchPolicy.isConfigBehind(6));
    BOOST_TEST(watchPolicy.isNewerConfigReported(6));
    BOOST_TEST(!watchPolicy.isNewerConfigReported(7));
}

BOOST_AUTO_TEST_CASE(oldProofIsNotRelayed)
{
    FreshnessGuard freshness(seconds(5), milliseconds(1250));
    const ProofRequest request{7, seconds(3)};
    BOOST_TEST(!ProofRelay::makeResponse(request, 1, freshness, UpstreamLog(), seconds(100)));
    freshness.recordProof(seconds(100));
    BOOST_TEST(
        ProofRelay::makeResponse(request, 1, freshness, UpstreamLog(), seconds(101)).has_value());
    BOOST_TEST(!ProofRelay::makeResponse(request, 1, freshness, UpstreamLog(), seconds(103)));
}

BOOST_AUTO_TEST_CASE(responseProvesOnlyTheRequestersOwnVersion)
{
    const ProofRelay relay(7);
    const ProofResponse response{7, seconds(50), 3, milliseconds(1200), 1, {}};
    BOOST_TEST((relay.proofTime(response, 3) == seconds(50) - milliseconds(1200)));
    BOOST_TEST(!relay.proofTime(response, 2));
    BOOST_TEST(!relay.proofTime(response, 4));
    BOOST_TEST(!ProofRelay(8).proofTime(response, 3));
}

BOOST_AUTO_TEST_CASE(logReturnsCompleteDeltaOrNothing)
{
    UpstreamLog log;
    const auto at = [](std::uint64_t revision) { return StorePosition{2, revision}; };
    log.restart(at(10));
    BOOST_TEST(!log.since(at(9)));
    BOOST_TEST((log.since(at(10)) == UpstreamDelta{at(10), at(10), {}}));
    UpstreamChange change;
    change.record.id = "a";
    log.append({at(10), at(12), {change}});
    change.removed = true;
    log.append({at(12), at(13), {change}});
    log.append({at(13), at(20), {}});
    BOOST_TEST(log.since(at(10))->changes.size() == 2U);
    BOOST_TEST(log.since(at(11))->changes.size() == 2U);
    BOOST_TEST((log.since(at(12)) == UpstreamDelta{at(12), at(20), {change}}));
    BOOST_TEST(log.since(at(25))->changes.empty());
    BOOST_TEST(!log.since({1, 12}));
    BOOST_TEST(!log.since({3, 12}));
    for (std::uint64_t revision = 21; revision <= 20 + UpstreamLog::maxRetainedChanges; ++revision)
        log.append({at(revision - 1), at(revision), {change}});
    BOOST_TEST(!log.since(at(11)));
    BOOST_TEST(!log.since(at(20)));
    BOOST_TEST(log.since(at(20 + UpstreamLog::maxRetainedChanges - UpstreamLog::maxRelayedChanges))
                   .has_value());
}

BOOST_AUTO_TEST_CASE(noScheduleProvesASupersededVersion)
{
    constexpr std::uint64_t schedules = 20'000;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
        BOOST_REQUIRE_MESSAGE(ProofSchedule(seed).runAndCheck(), "seed " << seed);
}

BOOST_AUTO_TEST_SUITE_END()
