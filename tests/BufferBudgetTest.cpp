#include "base/BufferBudget.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

constexpr std::size_t capacity = 1000;
using Share = BufferBudget::Share;

} // namespace

BOOST_AUTO_TEST_SUITE(BufferBudgetSuite)

BOOST_AUTO_TEST_CASE(oneBodyMayHaveTheWholeCapacity)
{
    BufferBudget budget(capacity);
    Share body(budget);
    BOOST_TEST(body.tryResize(capacity));
    BOOST_TEST(!body.tryResize(capacity + 1));
    BOOST_TEST(budget.size() == capacity);
}

BOOST_AUTO_TEST_CASE(endlessBodiesEndBeforeSmallOnes)
{
    BufferBudget budget(capacity);
    Share endless(budget);
    BOOST_TEST(endless.tryResize(900));
    Share small(budget);
    BOOST_TEST(small.tryResize(400));
    BOOST_TEST(!endless.tryResize(901));
    BOOST_TEST(small.tryResize(500));
    BOOST_TEST(!small.tryResize(501));
}

BOOST_AUTO_TEST_CASE(memoryIsReturnedWithTheBody)
{
    BufferBudget budget(capacity);
    {
        Share body(budget);
        BOOST_TEST(body.tryResize(700));
    }
    BOOST_TEST(budget.size() == 0U);
    BOOST_TEST(budget.bodies() == 0U);
    Share next(budget);
    BOOST_TEST(next.tryResize(capacity));
}

BOOST_AUTO_TEST_CASE(allBodiesTogetherHaveAtMostTwiceTheCapacity)
{
    constexpr int steps = 20'000;
    constexpr std::size_t mostBodies = 40;
    std::mt19937 random(49);
    BufferBudget budget(capacity);
    struct Body
    {
        explicit Body(BufferBudget &budget)
            : share(budget)
        {}
        Share share;
        std::size_t size = 0;
    };
    std::vector<std::unique_ptr<Body>> bodies;
    for (int i = 0; i < steps; ++i) {
        if (bodies.empty() || (bodies.size() < mostBodies && random() % 8 == 0))
            bodies.push_back(std::make_unique<Body>(budget));
        std::swap(bodies.at(random() % bodies.size()), bodies.back());
        Body &body = *bodies.back();
        const std::size_t larger = body.size + random() % 100;
        if (body.share.tryResize(larger))
            body.size = larger;
        else if (random() % 2 == 0)
            bodies.pop_back();
        BOOST_REQUIRE(budget.size() <= 2 * capacity);
    }
}

BOOST_AUTO_TEST_SUITE_END()
