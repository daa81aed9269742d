#include "peer/EntryLoadCodec.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

const std::string key = "0123456789abcdef";

EntryLoad sample()
{
    EntryLoad load;
    load.name = "entry-1";
    load.incarnation = 11;
    load.sequence = 12;
    load.configVersion = 13;
    load.loads = {{1, {2, 300}}, {4, {5, 0}}};
    load.demand = {{"models", queueRank(1, 2), 7, 3}};
    load.quotas = {{"w", 12345.5}};
    load.crashes = {{{8, 9}, milliseconds(10)}};
    load.leaving = true;
    return load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryLoadCodecSuite)

BOOST_AUTO_TEST_CASE(roundTrip)
{
    const auto opened = openEntryLoad(sealEntryLoad(sample(), key), key);
    BOOST_REQUIRE(opened);
    BOOST_TEST((*opened == sample()));
}

BOOST_AUTO_TEST_CASE(strangersAndDamageAreRejected)
{
    std::string bytes = sealEntryLoad(sample(), key);
    BOOST_TEST((openEntryLoad(bytes, "another key 1234").error().kind == ErrorKind::PeerRejected));
    BOOST_TEST((openEntryLoad("short", key).error().kind == ErrorKind::BadRequest));
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string damaged = bytes;
        damaged[i] = static_cast<char>(damaged[i] ^ 1);
        BOOST_TEST(!openEntryLoad(damaged, key));
    }
}

BOOST_AUTO_TEST_SUITE_END()
