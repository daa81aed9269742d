#include "serving/HedgePolicy.h"

#include <algorithm>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

constexpr double share = 0.02;
constexpr HedgeLoad calm{0, 200, 250};
const TimePoint start{std::chrono::seconds(1000)};

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

/// Times to the first token at calm load: close to the prediction, but a few percent of the
/// engines share their hosts with others for a moment and take several times as long.
class CalmEngines
{
public:
    double timeMs()
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        std::lognormal_distribution<double> noise(0, 0.15);
        const bool isDisturbed = uniform(m_random) < 0.015;
        return predictedMs * noise(m_random) * (isDisturbed ? 4 + 6 * uniform(m_random) : 1);
    }

    static constexpr double predictedMs = 100;

private:
    std::mt19937_64 m_random{7};
};

struct CalmRun
{
    std::vector<double> timesMs;
    int hedges = 0;

    double percentile(double part)
    {
        std::ranges::sort(timesMs);
        return timesMs[static_cast<std::size_t>(part * static_cast<double>(timesMs.size() - 1))];
    }
};

/// Plays requests at calm load; those that the policy hedges end with the faster answer.
CalmRun playCalm(double hedgedShare, HedgeLoad load)
{
    CalmRun run;
    CalmEngines engines;
    HedgePolicy policy(hedgedShare);
    const Duration predicted = fromMs(CalmEngines::predictedMs);
    for (int i = 0; i < 20'000; ++i) {
        const TimePoint now = start + milliseconds(20) * i;
        policy.countSend("models");
        double took = engines.timeMs();
        const auto delay = policy.delay("models", predicted);
        const bool isSlow = delay && fromMs(took) > *delay;
        if (isSlow && !policy.tryHedge("models", load, now)) {
            ++run.hedges;
            policy.recordSlow("models", predicted, *delay);
            took = std::min(took, toFractionalMs(*delay) + engines.timeMs());
        } else {
            policy.recordFirstToken("models", predicted, fromMs(took));
        }
        run.timesMs.push_back(took);
    }
    return run;
}

void learn(HedgePolicy &policy, int requests)
{
    CalmEngines engines;
    for (int i = 0; i < requests; ++i) {
        policy.countSend("models");
        policy.recordFirstToken("models", fromMs(CalmEngines::predictedMs),
                                fromMs(engines.timeMs()));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HedgePolicySuite)

BOOST_AUTO_TEST_CASE(slowestAnswersFallByAThirdForTheShareOfSends)
{
    CalmRun without = playCalm(0, calm);
    CalmRun with = playCalm(share, calm);
    const double p99 = with.percentile(0.99);
    BOOST_TEST_MESSAGE("p99 " << without.percentile(0.99) << " ms, hedged " << p99 << " ms, "
                              << with.hedges << " hedges");
    BOOST_TEST(p99 <= without.percentile(0.99) * 2 / 3);
    BOOST_TEST(with.hedges <= share * 20'000);
    BOOST_TEST(with.percentile(0.5) <= without.percentile(0.5) * 1.02);
}

BOOST_AUTO_TEST_CASE(nothingIsSentUnderLoad)
{
    BOOST_TEST(playCalm(share, {1, 200, 250}).hedges == 0);
    BOOST_TEST(playCalm(share, {0, 50, 250}).hedges == 0);
}

BOOST_AUTO_TEST_CASE(nothingIsSentSoonAfterARefusal)
{
    HedgePolicy policy(share);
    learn(policy, 200);
    policy.countRefusal("models", start);
    const auto soon = policy.tryHedge("models", calm, start + milliseconds(1900));
    BOOST_TEST(soon.has_value());
    BOOST_CHECK(soon == HedgeDenial::Loaded);
    BOOST_TEST(!policy.tryHedge("models", calm, start + milliseconds(2100)).has_value());
}

BOOST_AUTO_TEST_CASE(allUpstreamsSlowAtOnceUseUpTheShareAndNoMore)
{
    HedgePolicy policy(share);
    learn(policy, 1000);
    int sent = 0;
    for (int i = 0; i < 500; ++i) {
        policy.countSend("models");
        sent += policy.tryHedge("models", calm, start + milliseconds(i)) ? 0 : 1;
    }
    // The share of 500 sends, and what was saved up before.
    BOOST_TEST(sent <= 13);
    BOOST_TEST(sent >= 10);
}

BOOST_AUTO_TEST_CASE(anAnswerThatLostCountsAsSlowerThanTheDelay)
{
    HedgePolicy policy(share);
    learn(policy, 1000);
    const Duration predicted = fromMs(CalmEngines::predictedMs);
    const Duration before = policy.delay("models", predicted).value();
    for (int i = 0; i < 100; ++i)
        policy.recordSlow("models", predicted, before);
    BOOST_TEST(toFractionalMs(policy.delay("models", predicted).value()) > toFractionalMs(before));
}

BOOST_AUTO_TEST_CASE(delayFollowsThePrediction)
{
    HedgePolicy policy(share);
    BOOST_TEST(!policy.delay("models", milliseconds(100)).has_value());
    learn(policy, 1000);
    const double shortMs = toFractionalMs(policy.delay("models", milliseconds(100)).value());
    const double longMs = toFractionalMs(policy.delay("models", milliseconds(900)).value());
    BOOST_TEST(longMs == 9 * shortMs, boost::test_tools::tolerance(0.01));
    BOOST_TEST(!policy.delay("bookings", milliseconds(100)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
