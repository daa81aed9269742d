#include "serving/ReturnBook.h"

#include <map>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

constexpr TimePoint now{seconds(100)};

ReturnBook::Terms terms(std::uint64_t seed)
{
    return {milliseconds(500), milliseconds(4000), 8, seed * 7919};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReturnBookSuite)

BOOST_AUTO_TEST_CASE(appointmentsAreSpreadOverTheRoom)
{
    ReturnBook book;
    std::map<std::int64_t, int> bySecond;
    // Room for 0.6 * 8 a second over 3.5 s.
    int kept = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto made = book.book("models", 1, terms(seed), now);
        if (made.tooLate)
            continue;
        ++kept;
        BOOST_TEST((made.delay >= milliseconds(500) && made.delay <= milliseconds(4000)));
        ++bySecond[made.delay / seconds(1)];
    }
    BOOST_TEST(kept >= 14);
    BOOST_TEST(kept <= 32);
    for (const auto &[second, count] : bySecond)
        BOOST_TEST(count <= 10);
}

BOOST_AUTO_TEST_CASE(whoCannotBeServedInTimeIsToldALaterTime)
{
    ReturnBook book;
    auto none = terms(1);
    none.roomPerSecond = 0;
    const auto made = book.book("models", 1, none, now);
    BOOST_TEST(made.tooLate);
    BOOST_TEST((made.delay > none.latest));
    BOOST_TEST(book.rows(now).empty());
}

BOOST_AUTO_TEST_CASE(appointmentsOfOtherEntriesTakeRoomUntilTheyAreNotToldAnyMore)
{
    ReturnBook other;
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
        other.book("models", 0, terms(seed), now);
    std::vector<std::pair<ReturnSlots, TimePoint>> rows;
    for (const ReturnSlots &row : other.rows(now))
        rows.emplace_back(row, now);
    BOOST_REQUIRE(rows.size() == 1U);
    ReturnBook book;
    book.setPeers(rows);
    book.setPeers(rows);
    BOOST_TEST(book.book("models", 1, terms(1), now).tooLate);
    // The other entry is lost with its appointments.
    book.setPeers({});
    BOOST_TEST(!book.book("models", 1, terms(1), now).tooLate);
}

BOOST_AUTO_TEST_CASE(onlyThoseWhoComeWhenToldAreDue)
{
    ReturnBook book;
    const auto made = book.book("models", 1, terms(1), now);
    BOOST_REQUIRE(!made.tooLate);
    BOOST_TEST(book.dueNow("models", 1, now + made.delay) == 1);
    BOOST_TEST(book.dueNow("models", 1, now + made.delay + seconds(1)) == 0);
    BOOST_TEST(book.dueNow("models", 2, now + made.delay) == 0);
    BOOST_TEST(book.dueNow("models", 1, now + made.delay - seconds(1)) == 0);
}

BOOST_AUTO_TEST_CASE(overlongRowsAreCut)
{
    ReturnBook book;
    ReturnSlots odd{"models", 1, std::vector<std::uint16_t>(1000, 65535)};
    const std::pair<ReturnSlots, TimePoint> row{odd, now};
    book.setPeers({&row, 1});
    BOOST_TEST(book.dueNow("models", 1, now + seconds(17)) == 0);
    BOOST_TEST(book.book("models", 1, terms(1), now).tooLate);
}

BOOST_AUTO_TEST_SUITE_END()
