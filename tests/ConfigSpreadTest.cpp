#include "config/ConfigIntake.h"
#include "control/ConfigChanger.h"
#include "support/CoreHarness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::harness;
using std::chrono::hours;
using std::chrono::seconds;

namespace {

constexpr seconds spreadBound{5};

void requireEverywhere(CoreHarness &harness, int entries, Generation generation)
{
    for (int e = 0; e < entries; ++e)
        BOOST_TEST(harness.entry(e).config()->generation == generation);
    for (int g = 0; g < harness.gateCount(); ++g)
        BOOST_TEST(harness.gate(g).config()->generation == generation);
}

void requireNoViolations(const CoreHarness &harness)
{
    BOOST_TEST(harness.violations().empty(),
               (harness.violations().empty() ? "" : harness.violations().front()));
}

/// An object store whose calls fail as scripted: one letter per call.
/// o: works, l: takes effect but the answer is lost, n: does not take effect and no answer.
class ScriptedStore
{
public:
    using Answer = Result<std::uint64_t>;

    explicit ScriptedStore(standin::ObjectTable &table, std::string script)
        : m_table(table)
        , m_script(std::move(script))
    {}

    boost::asio::awaitable<Result<standin::ObjectTable::Object>> read(std::string key,
                                                                      std::uint64_t)
    {
        if (next() != 'o')
            co_return failure(ErrorKind::StoreUnavailable, "scripted");
        const auto object = m_table.find(key);
        if (!object)
            co_return failure(ErrorKind::NotFound, "scripted");
        co_return *object;
    }

    boost::asio::awaitable<Answer> create(std::string key, std::string value)
    {
        co_return write(key, value, standin::ObjectTable::Condition::Absent, 0);
    }

    boost::asio::awaitable<Answer> update(std::string key, std::string value, std::uint64_t version)
    {
        co_return write(key, value, standin::ObjectTable::Condition::Version, version);
    }

private:
    char next() { return m_calls < m_script.size() ? m_script[m_calls++] : 'o'; }

    Answer write(const std::string &key, const std::string &value,
                 standin::ObjectTable::Condition condition, std::uint64_t version)
    {
        const char fate = next();
        if (fate == 'n')
            return failure(ErrorKind::StoreUnavailable, "scripted");
        const auto written = m_table.put(key, value, condition, version);
        if (fate == 'l')
            return failure(ErrorKind::StoreUnavailable, "scripted");
        if (!written)
            return failure(ErrorKind::VersionConflict, "scripted");
        return *written;
    }

    standin::ObjectTable &m_table;
    std::string m_script;
    std::size_t m_calls = 0;
};

Result<FleetConfigPtr> usePreset(ScriptedStore &store, const std::string &preset,
                                 std::optional<Generation> expected)
{
    boost::asio::io_context context;
    ConfigChanger<ScriptedStore> changer(store, milliseconds(0));
    Result<FleetConfigPtr> result = failure(ErrorKind::Internal, "not run");
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            result = co_await changer.change(
                [&preset](const std::string &text) -> Result<std::string> {
                    return withPreset(text, preset);
                },
                expected);
        },
        boost::asio::detached);
    context.run();
    return result;
}

std::size_t changesIn(const standin::ObjectTable &table)
{
    const auto object = table.find("config");
    return (*parseFleetConfig(object->value, object->version))->changes.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigSpreadTest)

BOOST_AUTO_TEST_CASE(aChangeReachesEveryProcess)
{
    CoreHarness harness({});
    harness.run(seconds(1));
    const Generation generation = harness.acceptConfig(defaultConfig("peak"), 0);
    harness.run(seconds(1));
    requireEverywhere(harness, 2, generation);
    BOOST_TEST(harness.gate(0).config()->presetInForce == "peak");
    requireNoViolations(harness);
}

BOOST_AUTO_TEST_CASE(itSpreadsFromOneEntryWhileTheStoreIsDown)
{
    HarnessOptions options;
    options.entries = 4;
    CoreHarness harness(options);
    harness.run(seconds(1));
    harness.storeDown(hours(1));
    const Generation generation = harness.acceptConfig(defaultConfig("peak"), 2);
    harness.run(spreadBound);
    requireEverywhere(harness, 4, generation);
    requireNoViolations(harness);
}

BOOST_AUTO_TEST_CASE(processesStartedInAnOutageOfAnHourTakeTheNewest)
{
    CoreHarness harness({});
    harness.run(seconds(1));
    harness.storeDown(hours(1));
    const Generation generation = harness.acceptConfig(defaultConfig("peak"), 0);
    harness.run(seconds(2));
    harness.killEntry(1, seconds(1));
    harness.killGate(0, seconds(1));
    harness.run(seconds(1) + spreadBound);
    requireEverywhere(harness, 2, generation);
    harness.run(std::chrono::minutes(59));
    requireEverywhere(harness, 2, generation);
    requireNoViolations(harness);
}

BOOST_AUTO_TEST_CASE(oldReadsNeverRevertAnything)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        HarnessOptions options;
        options.seed = seed;
        options.entries = 3;
        CoreHarness harness(options);
        harness.run(seconds(1));
        std::mt19937_64 random(seed);
        Generation newest = 0;
        for (int i = 0; i < 10; ++i) {
            harness.storeReadsStale(seconds(3));
            newest = harness.acceptConfig(defaultConfig(i % 2 == 0 ? "peak" : "ordinary"),
                                          static_cast<int>(random() % 3));
            harness.run(milliseconds(random() % 900));
            if (random() % 2 == 0)
                harness.killEntry(static_cast<int>(random() % 3), milliseconds(300));
            if (random() % 2 == 0)
                harness.killGate(static_cast<int>(random() % 3), milliseconds(300));
            if (random() % 3 == 0)
                harness.pauseGate(1, milliseconds(2500));
            if (random() % 3 == 0)
                harness.partition(static_cast<int>(random() % 3), 2, seconds(2));
            harness.run(milliseconds(random() % 1500));
        }
        harness.run(seconds(10));
        requireEverywhere(harness, 3, newest);
        requireNoViolations(harness);
    }
}

BOOST_AUTO_TEST_CASE(aFreshProcessHearsSeveralPeersBeforeItTakesOne)
{
    const auto older = *parseFleetConfig(defaultConfig(), 5);
    const auto newer = *parseFleetConfig(defaultConfig("peak"), 6);
    const TimePoint start{seconds(100)};
    ConfigIntake intake;
    BOOST_TEST(!intake.offerFromPeer(older, start));
    BOOST_TEST(!intake.offerFromPeer(newer, start + milliseconds(500)));
    BOOST_TEST(!intake.tick(start + milliseconds(900)));
    BOOST_TEST(intake.tick(start + milliseconds(1000)));
    BOOST_TEST(intake.current()->generation == 6U);
    BOOST_TEST(!intake.offerStored(older));
    BOOST_TEST(intake.current()->generation == 6U);
}

BOOST_AUTO_TEST_CASE(everyFateOfEveryStoreCallSettles)
{
    // All scripts of five calls: the change is either accepted and made exactly once, or refused
    // with the truth unknown only if the API never answered again.
    for (int code = 0; code < 243; ++code) {
        std::string script;
        for (int rest = code, i = 0; i < 5; ++i, rest /= 3)
            script += "oln"[rest % 3];
        standin::ObjectTable table;
        table.put("config", defaultConfig(), standin::ObjectTable::Condition::None, 0);
        ScriptedStore store(table, script);
        const auto result = usePreset(store, "peak", std::nullopt);
        BOOST_TEST_CONTEXT("script " << script)
        {
            BOOST_REQUIRE(result);
            BOOST_TEST((*result)->presetInForce == "peak");
            BOOST_TEST(changesIn(table) == 1U);
            BOOST_TEST(table.find("config")->version == (*result)->generation);
        }
    }
}

BOOST_AUTO_TEST_CASE(racingOperatorsConflictOpenly)
{
    standin::ObjectTable table;
    const auto first =
        *table.put("config", defaultConfig(), standin::ObjectTable::Condition::None, 0);
    ScriptedStore one(table, "");
    ScriptedStore two(table, "");
    BOOST_TEST(usePreset(one, "peak", first).has_value());
    const auto late = usePreset(two, "maintenance", first);
    BOOST_REQUIRE(!late);
    BOOST_TEST((late.error().kind == ErrorKind::VersionConflict));
    BOOST_TEST((*parseFleetConfig(table.find("config")->value, 1))->presetInForce == "peak");
}

BOOST_AUTO_TEST_CASE(aLostAnswerIsSettledEvenWhenAnotherChangeFollowed)
{
    standin::ObjectTable table;
    const auto first =
        *table.put("config", defaultConfig(), standin::ObjectTable::Condition::None, 0);
    // The write takes effect, its answer is lost, and the next read fails as well.
    ScriptedStore store(table, "oln");
    const auto result = usePreset(store, "peak", first);
    BOOST_REQUIRE(result);
    BOOST_TEST(changesIn(table) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
