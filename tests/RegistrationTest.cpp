#include "support/Eventually.h"
#include "support/SmallFleet.h"

#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using tamarack::harness::eventually;
using tamarack::harness::SmallFleet;
using tamarack::standin::PlatformStore;

namespace {

const std::string entryKind = "tamarack-entries";
/// From the deletion of a registration until the entry has written it again.
constexpr milliseconds restoreTime{3000};

struct FleetOfTwoEntries : SmallFleet
{
    FleetOfTwoEntries()
        : SmallFleet(2, 1)
    {}

    /// Revision of the entry's registration; 0 if there is none.
    std::uint64_t registration(std::size_t number)
    {
        std::uint64_t revision = 0;
        store().with([&](const PlatformStore &content) {
            const auto found = content.get(entryKind, entryName(number));
            if (found.status == 200)
                revision = found.body.at("metadata").at("revision").to_number<std::uint64_t>();
        });
        return revision;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RegistrationSuite, FleetOfTwoEntries)

// Guards against review case 4: a deletion carried out late removed the registration for good.
BOOST_AUTO_TEST_CASE(deletedRegistrationIsWrittenAgain)
{
    for (int i = 0; i < 2; ++i) {
        store().with([](PlatformStore &content) { content.remove(entryKind, entryName(0)); });
        BOOST_TEST(eventually([this] { return registration(0) != 0; }, restoreTime));
    }
}

BOOST_AUTO_TEST_CASE(registrationThatARestoredStoreLacksIsWrittenAgain)
{
    store().with([](PlatformStore &content) {
        PlatformStore copy = content;
        copy.remove(entryKind, entryName(0));
        copy.remove(entryKind, entryName(1));
        content.restore(copy);
    });
    BOOST_TEST(eventually([this] { return registration(0) != 0 && registration(1) != 0; },
                          milliseconds(12'000)));
}

BOOST_AUTO_TEST_CASE(lateDeletionDoesNotRemoveTheRegistrationOfTheNextStart)
{
    store().holdDeletions(entryKind, entryName(0));
    drainEntry(0);
    std::this_thread::sleep_for(milliseconds(500));
    stopEntry(0);
    const std::uint64_t former = registration(0);
    restartEntry(0);
    BOOST_REQUIRE(eventually([&] { return registration(0) > former; }));
    const std::uint64_t current = registration(0);
    store().carryOutHeldDeletions();
    BOOST_TEST(registration(0) == current);
}

BOOST_AUTO_TEST_CASE(leavingEntryDoesNotRegisterAgain)
{
    drainEntry(0);
    BOOST_TEST(eventually([this] { return registration(0) == 0; }));
    std::this_thread::sleep_for(restoreTime);
    BOOST_TEST(registration(0) == 0U);
}

// A process that has taken the name keeps its registration.
BOOST_AUTO_TEST_CASE(leavingEntryDoesNotRemoveTheRegistrationOfAnother)
{
    store().with([](PlatformStore &content) {
        content.replace(entryKind, entryName(0), boost::json::object{{"peer", "127.0.0.1:9"}}, 0);
    });
    const std::uint64_t other = registration(0);
    drainEntry(0);
    std::this_thread::sleep_for(milliseconds(1500));
    BOOST_TEST(registration(0) == other);
}

BOOST_AUTO_TEST_SUITE_END()
