#include "serving/OccupancyModel.h"
#include "platform/HeaderCodec.h"
#include "serving/QueuedRequest.h"
#include "serving/UpstreamChooser.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace tamarack;
using std::chrono::seconds;

namespace {

const TimePoint start{seconds(100)};

std::optional<UpstreamOccupancy> decode(const std::vector<std::string> &values)
{
    HttpHeaders headers;
    for (const std::string &value : values)
        headers.emplace_back("Replica-Load", value);
    const ResponseFacts facts = platform::decodeAnswer(200, headers);
    BOOST_TEST(facts.malformedOccupancy == !facts.occupancy.has_value());
    return facts.occupancy;
}

std::vector<UpstreamRecord> engines(int count)
{
    std::vector<UpstreamRecord> records(static_cast<std::size_t>(count));
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].id = "engine-" + std::to_string(i);
        records[i].service = "models";
        records[i].slots = 5;
    }
    return records;
}

/// One entry's view of the engines, all of which have stated the same load.
struct EntryView
{
    EntryView(int number, int entries, int upstreams, const UpstreamOccupancy &stated)
    {
        table.setEngines({"models"});
        table.assign(engines(upstreams));
        std::set<std::string> others;
        for (int i = 0; i < entries; ++i)
            if (i != number)
                others.insert("entry-" + std::to_string(i));
        table.rankEntries("entry-" + std::to_string(number), others);
        for (const UpstreamPtr &upstream : table.ofService("models"))
            table.applyOccupancies({{{upstream->key, stated, milliseconds(20)}, start}});
    }

    UpstreamPtr startOne()
    {
        QueuedRequest request;
        request.service = "models";
        request.promptTokens = 500;
        request.responseEvents = 10;
        request.objectiveAt = start + seconds(2);
        const auto choice = chooser.choose(request, UpstreamChooser::Pacing::Ignore, start);
        if (choice.upstream)
            table.started(*choice.upstream, choice.freshTokens, start);
        return choice.upstream;
    }

    UpstreamTable table;
    UpstreamChooser chooser{table, "dc"};
};

} // namespace

BOOST_AUTO_TEST_SUITE(OccupancyModelSuite)

BOOST_AUTO_TEST_CASE(decodesThreeOrFourFigures)
{
    const auto three = decode({"3,1,8"});
    BOOST_REQUIRE(three.has_value());
    BOOST_TEST((*three == UpstreamOccupancy{3, 1, 8, std::nullopt}));
    const auto four = decode({" 4, 2 ,5 , 250"});
    BOOST_REQUIRE(four.has_value());
    BOOST_TEST((*four == UpstreamOccupancy{4, 2, 5, 2.5}));
    BOOST_TEST(decode({"3,1,8", "3,1,8"}).has_value());
}

BOOST_AUTO_TEST_CASE(ignoresOddFigures)
{
    for (const std::string odd :
         {"", "3", "3,1", "3,1,8,", "3,1,8,100,7", "-1,0,5", "3,1,0", "3,1,8,0", "3,1,8,-100",
          "3,1,8,nan", "3,1,8,inf", "3,1,8,x", "a,b,c", "3,,8", "3,1,8,1e99",
          "99999999999999999999,0,5", "4000000000,4000000000,5", "3,1,100000"})
        BOOST_TEST(!decode({odd}).has_value(), odd);
    BOOST_TEST(!decode({"3,1,8", "3,2,8"}).has_value());
    BOOST_TEST(!decode({"3,1,8", "odd"}).has_value());
    BOOST_TEST(!decode({"odd", "3,1,8"}).has_value());
}

BOOST_AUTO_TEST_CASE(statementCorrectsTheCountAndFades)
{
    OccupancyModel model;
    BOOST_TEST(model.requests(4, 0, start) == 4);
    BOOST_TEST(model.record({5, 5, 5, std::nullopt}, start, 4, true));
    BOOST_TEST(model.requests(4, 0, start) == 10);
    BOOST_TEST(model.requests(6, 2, start) == 12);
    BOOST_TEST(model.requests(4, 0, start + OccupancyModel::readingLife / 2) == 7);
    BOOST_TEST(model.requests(4, 0, start + OccupancyModel::readingLife) == 4);
    BOOST_TEST(model.requests(4, 0, start + seconds(60)) == 4);
    // Up to two requests may be on their way to it. What this entry has there itself is certain.
    BOOST_TEST(model.record({3, 0, 5, std::nullopt}, start + seconds(1), 5, true));
    BOOST_TEST(model.requests(5, 0, start + seconds(1)) == 5);
    BOOST_TEST(model.record({1, 0, 5, std::nullopt}, start + seconds(2), 5, true));
    BOOST_TEST(model.requests(5, 0, start + seconds(2)) == 3);
    BOOST_TEST(model.requests(5, 4, start + seconds(2)) == 4);
}

BOOST_AUTO_TEST_CASE(newestStatementHoldsHoweverItComes)
{
    OccupancyModel model;
    BOOST_TEST(model.record({5, 3, 5, std::nullopt}, start, 5, false));
    BOOST_TEST(!model.record({1, 0, 5, std::nullopt}, start, 5, false));
    BOOST_TEST(!model.record({1, 0, 5, std::nullopt}, start - milliseconds(1), 5, true));
    BOOST_TEST(model.requests(5, 0, start) == 8);
    // Only what an entry has read itself is reported.
    BOOST_TEST(!model.report(7, start).has_value());
    BOOST_TEST(model.record({2, 0, 5, 1.0}, start + milliseconds(1), 5, true));
    const auto row = model.report(7, start + milliseconds(31));
    BOOST_REQUIRE(row.has_value());
    BOOST_TEST(row->upstream == 7U);
    BOOST_TEST(row->stated.running == 2U);
    BOOST_TEST(row->age.count() == 30);
    BOOST_TEST(!model.report(7, start + seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(slotsFollowTheStatement)
{
    UpstreamTable table;
    table.setEngines({"models"});
    table.assign(engines(1));
    UpstreamState &engine = *table.ofService("models").front();
    BOOST_TEST(UpstreamTable::limit(engine, start) == 5);
    UpstreamTable::recordOccupancy(engine, {3, 0, 3, std::nullopt}, start);
    BOOST_TEST(UpstreamTable::limit(engine, start) == 3);
    BOOST_TEST(UpstreamTable::freePlaces(engine, start) == 0);
    UpstreamTable::recordOccupancy(engine, {3, 0, 8, std::nullopt}, start + milliseconds(50));
    BOOST_TEST(UpstreamTable::freePlaces(engine, start + milliseconds(50)) == 5);
    BOOST_TEST(UpstreamTable::limit(engine, start + seconds(10)) == 5);
}

// Hosts slow 15% of the upstreams down by 2.5 for 600 ms at a time; engines differ by 3 for good.
BOOST_AUTO_TEST_CASE(paceIsRelativeToTheUsualOneAndPasses)
{
    OccupancyModel model;
    TimePoint now = start;
    // Seen first while it is slowed down.
    model.record({1, 0, 5, 4.25}, now, 1, true);
    BOOST_TEST(model.slowness(now) == 1);
    for (int interval = 0; interval < 40; ++interval)
        for (int i = 0; i < 6; ++i) {
            now += milliseconds(100);
            model.record({1, 0, 5, interval % 7 == 6 ? 4.25 : 1.7}, now, 1, true);
        }
    BOOST_TEST(model.slowness(now) == 1, boost::test_tools::tolerance(0.15));
    now += milliseconds(100);
    model.record({1, 0, 5, 4.25}, now, 1, true);
    BOOST_TEST(model.slowness(now) == 2.5, boost::test_tools::tolerance(0.15));
    BOOST_TEST(model.slowness(now + OccupancyModel::paceLife / 2) < 2);
    BOOST_TEST(model.slowness(now + OccupancyModel::paceLife) == 1);
}

BOOST_AUTO_TEST_CASE(slowedUpstreamIsAvoidedWhileItIsSlow)
{
    EntryView view(0, 1, 2, {0, 0, 5, 1.0});
    const UpstreamPtr first = view.startOne();
    view.table.ended(*first);
    UpstreamTable::recordOccupancy(*first, {0, 0, 5, 2.5}, start + milliseconds(1));
    BOOST_TEST(view.startOne() != first);
}

// Without ranks, 28 entries that know the same figures start 28 requests at one engine.
BOOST_AUTO_TEST_CASE(entriesWithOneStaleFigureSpread)
{
    constexpr int entries = 28;
    constexpr int upstreams = 10;
    std::map<UpstreamKey, int> starts;
    for (int i = 0; i < entries; ++i) {
        EntryView view(i, entries, upstreams, {4, 0, 5, std::nullopt});
        const UpstreamPtr chosen = view.startOne();
        BOOST_REQUIRE(chosen);
        ++starts[chosen->key];
    }
    const auto most =
        std::ranges::max_element(starts, {}, [](const auto &item) { return item.second; });
    BOOST_TEST(starts.size() >= 8U);
    BOOST_TEST(most->second <= 6);
}

// One reading serves for as many starts as it shows free places.
BOOST_AUTO_TEST_CASE(ownStartsUseUpTheReading)
{
    EntryView view(0, 28, 2, {3, 0, 5, std::nullopt});
    for (int i = 0; i < 4; ++i)
        BOOST_TEST((view.startOne() != nullptr));
    BOOST_TEST((view.startOne() == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
