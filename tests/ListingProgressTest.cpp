#include "fleet/ListingProgress.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using State = ListingProgress::State;

namespace {

void checkGoesOnAfter(const ListingProgress &progress, State state, const std::string &name)
{
    BOOST_TEST((state == State::Unfinished));
    BOOST_TEST((progress.after() == name), name);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ListingProgressSuite)

BOOST_AUTO_TEST_CASE(goesOnFromTheLastNameOfEachPage)
{
    ListingProgress progress;
    BOOST_TEST(!progress.after());
    checkGoesOnAfter(progress, progress.handlePage({"a", "b"}, true), "b");
    checkGoesOnAfter(progress, progress.handlePage({"%#"}, true), "%#");
    BOOST_TEST((progress.handlePage({"d"}, false) == State::Whole));
}

BOOST_AUTO_TEST_CASE(emptyNameIsANameToGoOnFrom)
{
    ListingProgress progress;
    checkGoesOnAfter(progress, progress.handlePage({""}, true), "");
    BOOST_TEST((progress.handlePage({}, false) == State::Whole));
}

BOOST_AUTO_TEST_CASE(pageWithoutNamesIsTheEndOnlyIfNoneFollows)
{
    ListingProgress progress;
    BOOST_TEST((progress.handlePage({}, true) == State::Stuck));
    BOOST_TEST((ListingProgress().handlePage({}, false) == State::Whole));
}

BOOST_AUTO_TEST_CASE(storeThatStartsOverEndsTheListing)
{
    ListingProgress progress;
    checkGoesOnAfter(progress, progress.handlePage({"a", "b"}, true), "b");
    checkGoesOnAfter(progress, progress.handlePage({"c", "d"}, true), "d");
    BOOST_TEST((progress.handlePage({"a", "b"}, true) == State::Stuck));
}

BOOST_AUTO_TEST_CASE(refusedNameIsReplacedByTheLastPlainOneBeforeIt)
{
    const std::string longName(ListingProgress::plainNameBytes + 1, 'e');
    ListingProgress progress;
    checkGoesOnAfter(
        progress, progress.handlePage({"a", "b", "c d", "\xC3\xA9", "", longName, "f\xFF"}, true),
        "f\xFF");
    checkGoesOnAfter(progress, progress.handleRefusal(), "b");
    checkGoesOnAfter(progress, progress.handleRefusal(), "a");
    BOOST_TEST((progress.handleRefusal() == State::Stuck));
}

BOOST_AUTO_TEST_CASE(refusalsThatDoNotDependOnTheNameEndSoon)
{
    ListingProgress progress;
    progress.handlePage({"a", "b", "c", "d", "e"}, true);
    for (int i = 0; i < ListingProgress::maxAlternatives; ++i)
        BOOST_TEST((progress.handleRefusal() == State::Unfinished));
    BOOST_TEST((progress.handleRefusal() == State::Stuck));
}

BOOST_AUTO_TEST_CASE(longestPlainNameIsStillOne)
{
    const std::string name(ListingProgress::plainNameBytes, 'e');
    ListingProgress progress;
    progress.handlePage({name, "\xFF"}, true);
    checkGoesOnAfter(progress, progress.handleRefusal(), name);
}

BOOST_AUTO_TEST_CASE(refusalGoesBackNoFurtherThanTheLastPage)
{
    ListingProgress progress;
    progress.handlePage({"a", "b"}, true);
    progress.handlePage({"\xFF"}, true);
    BOOST_TEST((progress.handleRefusal() == State::Stuck));
}

BOOST_AUTO_TEST_CASE(refusedNameDoesNotEndAListingThatComesPastIt)
{
    ListingProgress progress;
    progress.handlePage({"a", "b", "\xFF"}, true);
    checkGoesOnAfter(progress, progress.handleRefusal(), "b");
    checkGoesOnAfter(progress, progress.handlePage({"\xFF", "\xFFz"}, true), "\xFFz");
    BOOST_TEST((progress.handlePage({}, false) == State::Whole));
}

BOOST_AUTO_TEST_SUITE_END()
