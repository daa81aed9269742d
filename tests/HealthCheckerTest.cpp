#include "direct/HealthChecker.h"

#include "base/Log.h"
#include "model/LoopbackListener.h"
#include "model/UpstreamServer.h"
#include "process/Timers.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::standin;
using std::chrono::seconds;

namespace {

struct Fixture
{
    Fixture()
    {
        setLogLevel("off");
        Service service;
        service.name = "models";
        service.healthCheckPath = UpstreamServer::healthPath;
        config.services = {service};
        config.buildIndexes();
        upstream->record.id = "a";
        upstream->record.service = "models";
        upstream->record.endpoint = {"127.0.0.1", server.port()};
    }

    /// Whether a health check finds the upstream serving.
    bool isServing()
    {
        bool serving = false;
        upstream->nextHealthCheck = {};
        checker.check(upstream, config, steadyNow(), [&](UpstreamState &) { serving = true; });
        context.restart();
        context.run_for(seconds(1));
        return serving;
    }

    /// Whether a connection check finds the upstream unreachable.
    bool isUnreachable()
    {
        bool unreachable = false;
        checker.checkConnection(upstream, [&](UpstreamState &) { unreachable = true; });
        context.restart();
        context.run_for(seconds(1));
        return unreachable;
    }

    boost::asio::io_context context;
    UpstreamServer server{context, 0, "a"};
    Metrics metrics;
    HealthChecker checker{context.get_executor(), metrics};
    ServingConfig config;
    UpstreamPtr upstream = std::make_shared<UpstreamState>();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HealthCheckerSuite, Fixture)

BOOST_AUTO_TEST_CASE(onlyTheUpstreamItselfConfirmsThatItServes)
{
    BOOST_TEST(isServing());
    server.leaving = true;
    BOOST_TEST(!isServing());
    server.leaving = false;
    // Its address is used by another upstream now.
    upstream->record.id = "b";
    BOOST_TEST(!isServing());
    upstream->record.id = "a";
    upstream->record.endpoint.port = freePort();
    BOOST_TEST(!isServing());
}

BOOST_AUTO_TEST_CASE(checksOfOneUpstreamAreSpacedOut)
{
    int confirmed = 0;
    const auto count = [&](UpstreamState &) { ++confirmed; };
    const TimePoint now = steadyNow();
    checker.check(upstream, config, now, count);
    checker.check(upstream, config, now + HealthChecker::interval / 2, count);
    context.run_for(seconds(1));
    BOOST_TEST(confirmed == 1);
    // Without a health check path, nothing can be asked.
    config.services.front().healthCheckPath.clear();
    checker.check(upstream, config, now, count);
    BOOST_TEST(confirmed == 2);
}

// After a broken attempt, a refused connection tells a crash from a reset.
BOOST_AUTO_TEST_CASE(refusedConnectionShowsThatTheUpstreamIsUnreachable)
{
    BOOST_TEST(!isUnreachable());
    upstream->record.endpoint.port = freePort();
    BOOST_TEST(isUnreachable());
}

BOOST_AUTO_TEST_SUITE_END()
