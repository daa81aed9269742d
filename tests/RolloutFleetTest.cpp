#include "support/Eventually.h"
#include "support/SmallFleet.h"

#include <string>
#include <thread>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;
using tamarack::harness::eventually;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::PlatformStore;
using tamarack::standin::UpstreamMode;

namespace json = boost::json;

namespace {

constexpr int okStatus = 200;
constexpr std::size_t entryCount = 3;
constexpr std::size_t formerCount = 3;
constexpr std::size_t upstreamCount = 5;
constexpr RolloutBounds bounds{0.2, 10, milliseconds(5000)};
constexpr milliseconds listDelay{1200};

/// Three entries; upstreams 0 to 2 have `v1`, 3 and 4 are of `v2` and not listed yet.
struct FleetWithOrders : SmallFleet
{
    FleetWithOrders()
        : SmallFleet(entryCount, upstreamCount, bounds)
    {
        for (std::size_t i = formerCount; i < upstreamCount; ++i)
            unlist(i);
        std::this_thread::sleep_for(listDelay);
    }

    void order(double durationS)
    {
        store().with([&](PlatformStore &platform) {
            platform.create(
                "rollouts", "models",
                json::object{{"service", "models"}, {"to", "v2"}, {"durationS", durationS}});
        });
    }

    void listNew()
    {
        for (std::size_t i = formerCount; i < upstreamCount; ++i)
            list(i, {.version = "v2", .born = 2});
    }

    std::string state()
    {
        std::string text;
        store().with([&](PlatformStore &platform) {
            const auto answer = platform.get("rollouts", "models");
            const auto *status = answer.body.as_object().at("status").if_object();
            if (status)
                text = status->at("state").as_string().c_str();
        });
        return text;
    }

    std::size_t received(std::size_t from, std::size_t to)
    {
        std::size_t sum = 0;
        for (std::size_t i = from; i < to; ++i)
            sum += upstream(i).receivedRequests().size();
        return sum;
    }

    /// Sends requests by each entry for a while; returns how many were served.
    std::size_t load(milliseconds duration)
    {
        std::size_t served = 0;
        const TimePoint end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end) {
            const std::string id = "load" + std::to_string(m_sent);
            served += responseStatus(get(m_sent % entryCount, "/read/x", id)) == okStatus ? 1 : 0;
            ++m_sent;
        }
        return served;
    }

    std::size_t m_sent = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutFleetTest)

BOOST_FIXTURE_TEST_CASE(BadVersionGetsASmallShare, FleetWithOrders)
{
    for (std::size_t i = formerCount; i < upstreamCount; ++i)
        upstream(i).mode = UpstreamMode::Fails;
    load(milliseconds(500));
    const std::size_t before = received(0, upstreamCount);
    order(10);
    listNew();
    load(seconds(4));
    const std::size_t bad = received(formerCount, upstreamCount);
    const std::size_t all = received(0, upstreamCount) - before;
    BOOST_TEST(bad > 0);
    BOOST_TEST(static_cast<double>(bad)
               <= bounds.exposeShare * static_cast<double>(all) + bounds.exposeSlack);
    BOOST_TEST(eventually([this] { return state() == "rolled_back"; }));
    load(milliseconds(500));
    BOOST_TEST(received(formerCount, upstreamCount) == bad);
    restartEntry(1);
    load(seconds(1));
    BOOST_TEST(received(formerCount, upstreamCount) == bad);
}

BOOST_FIXTURE_TEST_CASE(GoodVersionIsCompletedInTime, FleetWithOrders)
{
    order(6);
    listNew();
    load(milliseconds(2500));
    BOOST_TEST(state() == "running");
    BOOST_TEST(received(formerCount, upstreamCount) > 0);
    load(seconds(3));
    BOOST_TEST(state() == "completed");
    const std::size_t former = received(0, formerCount);
    load(milliseconds(500));
    BOOST_TEST(received(0, formerCount) == former);
}

BOOST_FIXTURE_TEST_CASE(ReleaseWithoutOrderIsServedAsBefore, FleetWithOrders)
{
    listNew();
    std::this_thread::sleep_for(listDelay);
    for (std::size_t i = 0; i < upstreamCount; ++i)
        upstream(i).workMs = 100;
    // One after the other, all requests would go to the same upstream.
    std::vector<std::string> answers(20);
    {
        std::vector<std::jthread> clients;
        for (std::size_t i = 0; i < answers.size(); ++i)
            clients.emplace_back([this, &answers, i] {
                answers[i] = get(0, "/read/x", "parallel" + std::to_string(i));
            });
    }
    for (const std::string &answer : answers)
        BOOST_TEST(responseStatus(answer) == okStatus);
    BOOST_TEST(received(formerCount, upstreamCount) >= 6);
}

BOOST_AUTO_TEST_SUITE_END()
