#include "base/ConnectionBudget.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

using Phase = ConnectionBudget::Phase;
constexpr std::size_t unit = ConnectionBudget::connectionBytes;
constexpr ConnectionBudget::Limits limits{100 * unit, 10};

struct Client
{
    Client(ConnectionBudget &budget, const std::string &address, TimePoint now)
        : share(budget, address, now, [this] { ++evictions; })
    {}

    int evictions = 0;
    ConnectionBudget::Share share;
};

struct Clients
{
    Client &join(const std::string &address = "a")
    {
        return *all.emplace_back(std::make_unique<Client>(budget, address, now));
    }

    Client &receiving(std::size_t units, const std::string &address = "a")
    {
        Client &client = join(address);
        client.share.enter(Phase::Receiving, now);
        BOOST_TEST(client.share.tryHold(units * unit, now));
        return client;
    }

    void wait(milliseconds duration) { now += duration; }

    TimePoint now{std::chrono::hours(1)};
    ConnectionBudget budget{limits};
    std::vector<std::unique_ptr<Client>> all;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionBudgetSuite, Clients)

BOOST_AUTO_TEST_CASE(aSingleClientMayHoldTheWholeBudget)
{
    Client &only = receiving(99);
    BOOST_TEST(budget.usage().bytes == limits.bytes);
    BOOST_TEST(!only.share.tryHold(100 * unit, now));
    BOOST_TEST(budget.usage().bytes == limits.bytes);
}

BOOST_AUTO_TEST_CASE(theConnectionThatHoldsMuchAndMovesLeastGoesFirst)
{
    Client &stopped = receiving(40);
    Client &slow = receiving(10);
    wait(milliseconds(500));
    Client &moving = receiving(40);
    Client &last = join();
    last.share.enter(Phase::Receiving, now);
    BOOST_TEST(last.share.tryHold(10 * unit, now));
    BOOST_TEST(stopped.evictions == 1);
    BOOST_TEST(slow.evictions + moving.evictions + last.evictions == 0);
    BOOST_TEST(!stopped.share.tryHold(41 * unit, now));
}

BOOST_AUTO_TEST_CASE(aRequestThatIsServedIsNotEvicted)
{
    Client &served = receiving(98);
    served.share.serve();
    wait(milliseconds(5000));
    Client &other = join();
    other.share.enter(Phase::Receiving, now);
    BOOST_TEST(!other.share.tryHold(60 * unit, now));
    BOOST_TEST(served.evictions == 0);
    // What holds little still fits.
    BOOST_TEST(other.share.tryHold(unit, now));
}

BOOST_AUTO_TEST_CASE(anAnswerThatIsReadyIsHeldAndEvictsOthers)
{
    Client &stopped = receiving(60);
    Client &answered = receiving(1);
    answered.share.serve();
    wait(milliseconds(100));
    answered.share.enter(Phase::Sending, now);
    answered.share.hold(70 * unit, now);
    BOOST_TEST(stopped.evictions == 1);
    BOOST_TEST(answered.evictions == 0);
}

BOOST_AUTO_TEST_CASE(anAddressWithManyConnectionsGoesBeforeOneWithFew)
{
    std::vector<Client *> crowd;
    for (int i = 0; i < 6; ++i)
        crowd.push_back(&receiving(10, "crowd"));
    Client &alone = receiving(12, "alone");
    wait(milliseconds(100));
    Client &last = join("other");
    last.share.enter(Phase::Receiving, now);
    BOOST_TEST(last.share.tryHold(25 * unit, now));
    BOOST_TEST(alone.evictions == 0);
}

BOOST_AUTO_TEST_CASE(aFullProcessEvictsTheIdlestAndNotTheLast)
{
    Client &idlest = join();
    wait(milliseconds(100));
    for (std::size_t i = 1; i < limits.connections; ++i)
        join();
    wait(milliseconds(100));
    BOOST_TEST(join().share.isAdmitted());
    BOOST_TEST(idlest.evictions == 1);
    BOOST_TEST(budget.usage().evicted == 1U);
}

BOOST_AUTO_TEST_CASE(aFullProcessThatServesAllRefusesTheLast)
{
    for (std::size_t i = 0; i < limits.connections; ++i)
        join().share.serve();
    wait(milliseconds(100));
    BOOST_TEST(!join().share.isAdmitted());
    BOOST_TEST(budget.usage().refused == 1U);
    all.clear();
    BOOST_TEST(budget.usage().bytes == 0U);
    BOOST_TEST(join().share.isAdmitted());
}

BOOST_AUTO_TEST_CASE(anEvictionThatComesTooLateIsTakenBack)
{
    Client &idle = receiving(60);
    Client &other = receiving(60);
    BOOST_TEST(idle.evictions == 1);
    idle.share.readmit();
    BOOST_TEST(budget.usage().bytes == 122 * unit);
    BOOST_TEST(budget.usage().evicted == 0U);
    BOOST_TEST(other.evictions == 0);
    all.clear();
    BOOST_TEST(budget.usage().bytes == 0U);
    BOOST_TEST(budget.usage().connections == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
