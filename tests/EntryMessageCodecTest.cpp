#include "peer/EntryMessageCodec.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

const std::string key = "0123456789abcdef";

EntryLoad sample()
{
    EntryLoad load;
    load.name = "entry-1";
    load.dataCentre = "north";
    load.upstreamPosition = {3, 14};
    load.incarnation = 11;
    load.sequence = 12;
    load.configVersion = 13;
    load.loads = {{1, {2, 300}}, {4, {5, 0}}};
    load.demand = {{"models", queueRank(1, 2), 7, 3, 2, 4, 12.5, 0.25}};
    load.returns = {{"models", queueRank(1, 2), {0, 3, 65535}}};
    load.quotas = {{"w", 12345.5, 17.5}};
    load.crashes = {{{8, 9}, milliseconds(10)}};
    load.partCrashes = {{{31, 32, 2}, milliseconds(33)}};
    load.partAnswers = {{34, milliseconds(35), 36}};
    load.occupancies = {{21, {5, 2, 5, 2.5}, milliseconds(40)},
                        {22, {0, 0, 6, std::nullopt}, milliseconds(0)}};
    load.terms = {{21, LimitReport{3.9, milliseconds(450), milliseconds(250)}, false, 7},
                  {22, LimitReport{std::nullopt, milliseconds(9), milliseconds(1)}, true, 0},
                  {23, std::nullopt, false, 4}};
    load.leaving = true;
    return load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryMessageCodecSuite)

BOOST_AUTO_TEST_CASE(roundTrip)
{
    const auto opened = openMessage(sealMessage(sample(), key), key);
    BOOST_REQUIRE(opened);
    BOOST_TEST((std::get<EntryLoad>(*opened) == sample()));
}

BOOST_AUTO_TEST_CASE(proofsRoundTrip)
{
    const ProofRequest ask{7, BootTime(8'000'000'001), {2, 40}};
    ProofResponse answer{7, BootTime(8'000'000'001), 9, milliseconds(1300), 2, std::nullopt};
    BOOST_TEST((std::get<ProofResponse>(*openMessage(sealMessage(answer, key), key)) == answer));
    UpstreamChange change;
    change.record = {"id", "models", {"10.0.0.9", 80}, "north", 6, true, 5, "v1"};
    UpstreamChange removal;
    removal.record.id = "gone";
    removal.removed = true;
    answer.upstreams = UpstreamDelta{{2, 40}, {2, 44}, {change, removal}};
    BOOST_TEST((std::get<ProofRequest>(*openMessage(sealMessage(ask, key), key)) == ask));
    BOOST_TEST((std::get<ProofResponse>(*openMessage(sealMessage(answer, key), key)) == answer));
}

BOOST_AUTO_TEST_CASE(originsRoundTrip)
{
    const StreamOrigin origin{7, "up", 8, "v1.1", true};
    const OriginRequest request{9, 7};
    const OriginResponse unknown{9, 7, std::nullopt};
    const OriginResponse response{9, 7, origin};
    BOOST_TEST((std::get<StreamOrigin>(*openMessage(sealMessage(origin, key), key)) == origin));
    BOOST_TEST((std::get<OriginRequest>(*openMessage(sealMessage(request, key), key)) == request));
    for (const OriginResponse &each : {unknown, response})
        BOOST_TEST((std::get<OriginResponse>(*openMessage(sealMessage(each, key), key)) == each));
}

BOOST_AUTO_TEST_CASE(strangersAndDamageAreRejected)
{
    std::string bytes = sealMessage(sample(), key);
    BOOST_TEST((openMessage(bytes, "another key 1234").error().kind == ErrorKind::PeerRejected));
    BOOST_TEST((openMessage("short", key).error().kind == ErrorKind::BadRequest));
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string damaged = bytes;
        damaged[i] = static_cast<char>(damaged[i] ^ 1);
        BOOST_TEST(!openMessage(damaged, key));
    }
}

BOOST_AUTO_TEST_SUITE_END()
