#include "serving/EventScanner.h"

#include <string>

#include <boost/test/unit_test.hpp>

using namespace tamarack;

BOOST_AUTO_TEST_SUITE(EventScannerSuite)

BOOST_AUTO_TEST_CASE(returnsCompleteEventsOnly)
{
    EventScanner scanner;
    BOOST_TEST(scanner.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    BOOST_TEST(scanner.hasPartial());
    BOOST_TEST(scanner.lastId().value() == 1U);
    BOOST_TEST(scanner.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(!scanner.hasPartial());
    BOOST_TEST(scanner.events() == 2U);
}

BOOST_AUTO_TEST_CASE(readsEventsWithCarriageReturns)
{
    EventScanner scanner;
    BOOST_TEST(scanner.feed("id: 7\r\ndata: a\r\n\r\nid: 8") == "id: 7\r\ndata: a\r\n\r\n");
    BOOST_TEST(scanner.lastId().value() == 7U);
}

// An upstream crashed in the middle of an event, and the client received the first half of that
// event before the first event of the upstream at which the stream was resumed.
BOOST_AUTO_TEST_CASE(dropsTheIncompleteEventWhenTheStreamIsResumed)
{
    EventScanner scanner;
    scanner.feed("id: 40\ndata: a\n\nid: 41\ndata: br");
    scanner.prepareResume();
    BOOST_TEST(!scanner.hasPartial());
    BOOST_TEST(scanner.feed("id: 41\ndata: whole\n\n") == "id: 41\ndata: whole\n\n");
}

BOOST_AUTO_TEST_CASE(dropsEventsThatTheClientHasAlready)
{
    EventScanner scanner;
    scanner.feed("id: 4\ndata: a\n\n");
    scanner.prepareResume();
    BOOST_TEST(scanner.feed("id: 4\ndata: a\n\nid: 5\ndata: b\n\n") == "id: 5\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(incompleteEventsAreOverlongAboveTheMaximumSize)
{
    EventScanner scanner;
    scanner.feed("id: 1\ndata: ");
    scanner.feed(std::string(EventScanner::maxEventBytes - 20, 'x'));
    BOOST_TEST(!scanner.isOverlong());
    scanner.feed(std::string(20, 'x'));
    BOOST_TEST(scanner.isOverlong());
    BOOST_TEST(!scanner.feed("\n\n").empty());
    BOOST_TEST(!scanner.isOverlong());
}

BOOST_AUTO_TEST_SUITE_END()
