#include "serving/EventScanner.h"

#include <string>
#include <utility>
#include <vector>

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
    scanner.startAfter(6);
    BOOST_TEST(scanner.feed("id: 7\r\ndata: a\r\n\r\nid: 8") == "id: 7\r\ndata: a\r\n\r\n");
    BOOST_TEST(scanner.lastId().value() == 7U);
}

// An upstream crashed in the middle of an event, and the client received the first half of that
// event before the first event of the upstream at which the stream was resumed.
BOOST_AUTO_TEST_CASE(dropsTheIncompleteEventWhenTheStreamIsResumed)
{
    EventScanner scanner;
    scanner.startAfter(39);
    scanner.feed("id: 40\ndata: a\n\nid: 41\ndata: br");
    scanner.startResponse();
    BOOST_TEST(!scanner.hasPartial());
    BOOST_TEST(scanner.feed("id: 41\ndata: whole\n\n") == "id: 41\ndata: whole\n\n");
}

BOOST_AUTO_TEST_CASE(dropsEventsThatTheClientHasAlready)
{
    EventScanner scanner;
    scanner.startAfter(3);
    scanner.feed("id: 4\ndata: a\n\n");
    scanner.startResponse();
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

BOOST_AUTO_TEST_CASE(returnsTheEventsBeforeAFaultAndNoneBehindIt)
{
    using enum EventFault;
    const std::string sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const std::vector<std::pair<std::string, EventFault>> faults{
        {"id: 4\ndata: d\n\n", Gap},
        {"id: 18446744073709551615\ndata: d\n\n", Gap},
        {"id: 2\ndata: b\n\n", NotIncreasing},
        {"id: 1\ndata: a\n\n", NotIncreasing},
        {"id: 0\ndata: d\n\n", NotIncreasing},
        {"data: d\n\n", NoId},
        {"id:\ndata: d\n\n", NoId},
        {"id: 3x\ndata: d\n\n", NoId},
        {"id: -3\ndata: d\n\n", NoId},
        {"id: 18446744073709551619\ndata: d\n\n", NoId},
        {"id: 3\nid: 9\ndata: d\n\n", NoId},
    };
    for (const auto &[event, fault] : faults)
        BOOST_TEST_CONTEXT(event)
        {
            EventScanner scanner;
            BOOST_TEST(scanner.feed(sound + event + "id: 3\ndata: c\n\n") == sound);
            BOOST_TEST((scanner.fault() == fault));
            BOOST_TEST(scanner.feed("id: 3\ndata: c\n\n").empty());
            BOOST_TEST(scanner.lastId().value() == 2U);
            scanner.startResponse();
            BOOST_TEST(scanner.feed("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
            BOOST_TEST(!scanner.fault());
        }
}

BOOST_AUTO_TEST_CASE(dropsKnownEventsAtTheBeginningOfAResponseOnly)
{
    EventScanner scanner;
    scanner.startAfter(2);
    scanner.startResponse();
    BOOST_TEST(scanner.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n").empty());
    BOOST_TEST(!scanner.hasProgressed());
    BOOST_TEST(scanner.feed("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    BOOST_TEST(scanner.hasProgressed());
    BOOST_TEST(scanner.feed("id: 2\ndata: b\n\n").empty());
    BOOST_TEST((scanner.fault() == EventFault::NotIncreasing));
}

BOOST_AUTO_TEST_CASE(commentsAreNoEvents)
{
    EventScanner scanner;
    BOOST_TEST(scanner.feed(": alive\n\n") == ": alive\n\n");
    BOOST_TEST(!scanner.fault());
    BOOST_TEST(!scanner.hasProgressed());
    BOOST_TEST(scanner.events() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
