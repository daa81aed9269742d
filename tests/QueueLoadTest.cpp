#include "support/QueueLoad.h"

#include <boost/test/unit_test.hpp>
#include <spdlog/fmt/fmt.h>

using namespace tamarack;
using namespace tamarack::harness;
using std::chrono::seconds;

namespace {

/// A kind of request is starved when it is served less often than this part of all requests; the
/// bound of the platform's contract.
constexpr double starvedShare = 0.25;
/// A kind in both tiers.
constexpr std::size_t kindsPerTier = 3;

/// Three kinds in each of two workspace tiers, with the rates, sizes and objectives of the
/// mediation office's engine service, as a multiple of what 50 engines carry.
std::vector<LoadKind> mediationKinds(double load, double upperTierShare)
{
    constexpr double engines = 10.0 / 50;
    std::vector<LoadKind> kinds;
    for (const TierRank tier : {TierRank{0}, TierRank{1}}) {
        const double share = tier == 0 ? upperTierShare : 1 - upperTierShare;
        const double rate = load * share * engines;
        kinds.push_back({fmt::format("summary of tier {}", tier), queueRank(tier, 0), 251 * rate,
                         2890, 10, milliseconds(500), seconds(5)});
        kinds.push_back({fmt::format("faq of tier {}", tier), queueRank(tier, 1), 306 * rate, 1800,
                         5, milliseconds(800), seconds(3)});
        kinds.push_back({fmt::format("guidance of tier {}", tier), queueRank(tier, 2), 99 * rate,
                         543, 56, milliseconds(1000), seconds(15)});
    }
    return kinds;
}

/// Share of a kind's requests, those of both tiers together, that are served.
double servedShareOfKind(const QueueLoad &load, std::size_t kind)
{
    const LoadCount &upper = load.count(kind);
    const LoadCount &lower = load.count(kind + kindsPerTier);
    return static_cast<double>(upper.served + lower.served) / (upper.asked + lower.asked);
}

std::string describe(const QueueLoad &load, const std::vector<LoadKind> &kinds)
{
    std::string text;
    for (std::size_t i = 0; i < kinds.size(); ++i)
        text += fmt::format("{} {:.2f}, ", kinds[i].name, load.count(i).servedShare());
    return text + fmt::format("all {:.2f}", load.total().servedShare());
}

} // namespace

BOOST_AUTO_TEST_SUITE(QueueLoadSuite)

// fleetbench grown Budapest, scale days: too few live-guidance requests were served.
BOOST_AUTO_TEST_CASE(noKindStarvesUnderLastingOverload)
{
    for (const double upperTierShare : {0.0, 0.1, 0.3}) {
        for (const double overload : {1.5, 2.0, 3.0}) {
            const auto kinds = mediationKinds(overload, upperTierShare);
            QueueLoad load({}, kinds);
            load.run(seconds(30));
            BOOST_TEST_MESSAGE("load " << overload << ": " << describe(load, kinds));
            for (std::size_t kind = 0; kind < kindsPerTier; ++kind)
                BOOST_TEST(
                    servedShareOfKind(load, kind) >= starvedShare * load.total().servedShare(),
                    kinds[kind].name << " at load " << overload << ": " << describe(load, kinds));
        }
    }
}

// The floor of a kind is taken from the other kinds of its tier, never from a higher tier.
BOOST_AUTO_TEST_CASE(aHigherTierIsServedBeforeTheDueKindsOfALowerOne)
{
    for (const double overload : {1.5, 2.0, 3.0}) {
        const auto kinds = mediationKinds(overload, 0.2);
        QueueLoad load({}, kinds);
        load.run(seconds(30));
        for (std::size_t upper = 0; upper < kindsPerTier; ++upper)
            for (std::size_t lower = kindsPerTier; lower < kinds.size(); ++lower)
                BOOST_TEST(load.count(upper).servedShare() >= load.count(lower).servedShare(),
                           kinds[upper].name << " before " << kinds[lower].name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
