#include "direct/RestartChecker.h"

#include "base/Log.h"
#include "model/UpstreamServer.h"
#include "process/Timers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <exception>
#include <string>
#include <vector>

using namespace tamarack;
using namespace tamarack::standin;

namespace {

constexpr std::uint64_t listedStart = 7;

struct Fixture
{
    Fixture()
    {
        setLogLevel("off");
        server.born = listedStart;
        upstream->record.id = "a";
        upstream->record.service = "models";
        upstream->record.endpoint = {"127.0.0.1", server.port()};
        upstream->record.born = listedStart;
    }

    /// Asks the upstream, which could not be connected to before. Returns whether its state is
    /// known afterwards.
    bool check()
    {
        const TimePoint now = steadyNow();
        UpstreamTable::recordUnreachable(*upstream, now);
        upstream->nextRestartCheck = {};
        bool known = false;
        boost::asio::co_spawn(context, checker.check(suspects),
                              [&known](const std::exception_ptr &thrown, const UpstreamPtr &left) {
                                  known = !thrown && !left;
                              });
        context.restart();
        context.run_for(std::chrono::seconds(1));
        return known;
    }

    /// Whether a process may respond there that is not listed.
    bool isUnlisted() const { return steadyNow() < upstream->unlistedUntil; }

    boost::asio::io_context context;
    UpstreamServer server{context, 0, "a"};
    Metrics metrics;
    RestartChecker checker{context.get_executor(), metrics};
    UpstreamPtr upstream = std::make_shared<UpstreamState>();
    const std::vector<UpstreamPtr> suspects{upstream};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RestartCheckerSuite, Fixture)

BOOST_AUTO_TEST_CASE(onlyAnotherProcessThanTheListedOneIsADoubt)
{
    BOOST_TEST(check());
    BOOST_TEST(!isUnlisted());
    server.born = listedStart + 1;
    BOOST_TEST(check());
    BOOST_TEST(isUnlisted());
    server.born = listedStart;
    BOOST_TEST(check());
    BOOST_TEST(!isUnlisted());
}

// Guards against an upstream whose name in the store is too long for a header: it counted as being
// asked for ever, and kept all unknown streams of its service from going on.
BOOST_AUTO_TEST_CASE(upstreamThatNoRequestCanBeMadeForDoesNotStayInDoubt)
{
    constexpr std::size_t tooLong = 70'000;
    upstream->record.id = std::string(tooLong, 'a');
    BOOST_TEST(check());
    // Some process has accepted the connection.
    BOOST_TEST(isUnlisted());
    BOOST_TEST(!upstream->isRestartCheckRunning);
}

BOOST_AUTO_TEST_SUITE_END()
