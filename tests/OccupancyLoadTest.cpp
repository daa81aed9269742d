#include "support/QueueSimulation.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::harness;
using std::chrono::seconds;

namespace {

/// 28 entries at 50 engines of 5 slots, as many as the linen office's site has at its peak: reports
/// of the others are some 80 ms old, and 15% of the engines are slowed down for 600 ms at a time.
QueueSimulationOptions manyEntries(bool statesLoad)
{
    QueueSimulationOptions options;
    options.entries = 28;
    options.upstreams = 50;
    options.slots = 5;
    options.slowUpstreams = 33;
    options.slowFactor = 2.8;
    options.reportInterval = milliseconds(80);
    options.statesLoad = statesLoad;
    options.slowdownShare = 0.15;
    options.slowdown = 2.5;
    return options;
}

std::vector<LoadKind> kinds(double load)
{
    return {{"review", queueRank(0, 0), 115 * load, 2890, 8, milliseconds(800), seconds(5)},
            {"report", queueRank(0, 1), 200 * load, 1800, 4, milliseconds(600), seconds(3)},
            {"route", queueRank(0, 2), 60 * load, 543, 45, milliseconds(1500), seconds(12)}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(OccupancyLoadSuite)

// Regression (cascadia scale-2): engines had more than 3 requests waiting while others stood free.
BOOST_AUTO_TEST_CASE(fewStartsQueueBesideAFreeEngine)
{
    for (const double load : {0.6, 1.0, 1.5}) {
        QueueSimulation before(manyEntries(false), kinds(load));
        before.run(seconds(20));
        QueueSimulation after(manyEntries(true), kinds(load));
        after.run(seconds(20));
        BOOST_TEST_MESSAGE(
            "load " << load << ": queued beside free " << before.starts().queuedShare()
                    << " without, " << after.starts().queuedShare() << " with statements; on time "
                    << before.total().onTimeShare() << ", " << after.total().onTimeShare());
        BOOST_TEST(after.starts().queuedShare() < 0.1);
        BOOST_TEST(after.total().onTimeShare() >= before.total().onTimeShare());
    }
}

BOOST_AUTO_TEST_SUITE_END()
