#include "model/RepeatingServer.h"
#include "support/SmallFleet.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::responseStatus;
using tamarack::harness::SmallFleet;
using tamarack::standin::RepeatingServer;

namespace {

constexpr int okStatus = 200;
constexpr std::size_t serverCount = 2;

/// One entry in front of upstreams that write refusals twice.
struct RepeatingUpstreams : SmallFleet
{
    RepeatingUpstreams()
        : SmallFleet(0, 0)
    {
        for (std::size_t i = 0; i < serverCount; ++i) {
            servers.push_back(std::make_unique<RepeatingServer>(context(), 0));
            listAt("repeating-" + std::to_string(i), servers.back()->port(), {});
        }
        startEntry();
    }

    int runs(const std::string &requestId) const
    {
        int sum = 0;
        for (const auto &server : servers) {
            const auto all = server->runs();
            const auto found = all.find(requestId);
            sum += found == all.end() ? 0 : found->second;
        }
        return sum;
    }

    void sendAndCheck(int requests)
    {
        int served = 0;
        for (int i = 0; i < requests; ++i) {
            const std::string id = "q" + std::to_string(i);
            const int status = responseStatus(get(0, "/write/x", id));
            const bool statesNotRun = status == 429 || status == 503;
            BOOST_TEST(runs(id) <= 1);
            BOOST_TEST((!statesNotRun || runs(id) == 0));
            served += status == okStatus ? 1 : 0;
        }
        // At most a refusal of each upstream on the way, and no budget for a retry.
        BOOST_TEST(served >= requests / 2);
        BOOST_TEST(std::ranges::any_of(servers,
                                       [](const auto &server) { return server->repeated() > 0; }));
    }

    std::vector<std::unique_ptr<RepeatingServer>> servers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RepeatedRefusalSuite, RepeatingUpstreams)

BOOST_AUTO_TEST_CASE(refusalOfAnEarlierRequestWithoutItsIdIsNoResponse)
{
    sendAndCheck(60);
}

BOOST_AUTO_TEST_CASE(refusalOfAnEarlierRequestIsNoResponse)
{
    for (const auto &server : servers)
        server->repeatsId = true;
    sendAndCheck(60);
}

BOOST_AUTO_TEST_SUITE_END()
