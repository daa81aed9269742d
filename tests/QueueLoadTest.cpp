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
/// A kind may be served less often than a less urgent one by this much; the same contract.
constexpr double invertedShare = 0.05;

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
BOOST_AUTO_TEST_CASE(noKindOfATierStarvesUnderLastingOverload)
{
    for (const double overload : {1.5, 2.0, 3.0}) {
        const auto kinds = mediationKinds(overload, 0.2);
        QueueLoad load({}, kinds);
        load.run(seconds(30));
        BOOST_TEST_CONTEXT("load " << overload << ": " << describe(load, kinds))
        for (std::size_t i = 0; i < kinds.size(); ++i)
            BOOST_TEST(load.count(i).servedShare() >= starvedShare * load.total().servedShare(),
                       kinds[i].name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
