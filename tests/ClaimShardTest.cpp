#include "claims/ClaimShard.h"
#include "model/ClaimCalls.h"
#include "model/ObjectTable.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>
#include <spdlog/fmt/fmt.h>

using namespace tamarack;
using standin::ObjectTable;
using std::chrono::seconds;

namespace {

constexpr std::int64_t wallStart = 1'000'000;
constexpr std::size_t listedObjects = 20;

/// How the store treats calls, in percent.
struct StoreFaults
{
    int lostAnswers = 0;
    int notDone = 0;
    int stale = 0;
};

/// Several writers of one shard over one table, stepped in random order.
class Writers
{
public:
    Writers(std::uint64_t seed, std::size_t count, StoreFaults faults, std::uint64_t compactEvery)
        : m_random(seed)
        , m_faults(faults)
        , m_compactEvery(compactEvery)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_writers.push_back(makeWriter());
    }

    void submit(std::size_t writer, const std::string &key, ClaimToken supersedes = 0)
    {
        ClaimRecord record;
        record.workspace = "ws";
        record.key = key;
        record.request = {writer + 1, ++m_tokens};
        record.gateName = "up";
        record.token = m_tokens;
        record.supersedes = supersedes;
        m_writers[writer].submit(record, m_now);
    }

    /// Advances one random writer by one call.
    void step()
    {
        m_now += milliseconds(1 + m_random() % 10);
        const std::size_t index = m_random() % m_writers.size();
        ClaimShard &writer = m_writers[index];
        writer.tick(m_now, wallStart);
        auto call = writer.takeCall(m_now);
        if (call)
            m_inFlight.push_back({index, m_generation[index], *call});
        // Calls of different writers take effect in any order.
        if (!m_inFlight.empty() && m_random() % 3 != 0)
            finishOne();
        collect();
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step();
    }

    /// The writer dies with what it had not been told; a new process takes its place. Its call
    /// may still take effect later.
    void restart(std::size_t writer)
    {
        ++m_generation[writer];
        m_writers[writer] = makeWriter();
    }

    void heal() { m_faults = {}; }

    const std::vector<claims::Answer> &answers() const { return m_answers; }
    ObjectTable &table() { return m_table; }
    std::uint64_t writes() const { return m_calls.writes(); }
    ClaimShard &writer(std::size_t index) { return m_writers[index]; }
    TimePoint now() const { return m_now; }

private:
    struct InFlight
    {
        std::size_t writer = 0;
        std::uint64_t generation = 0;
        ClaimCall call;
    };

    ClaimShard makeWriter()
    {
        ClaimShardOptions options;
        options.writer = ++m_incarnations << 8;
        options.compactEvery = m_compactEvery;
        options.answerBound = seconds(100);
        m_generation.resize(std::max(m_generation.size(), m_writers.size() + 1));
        return ClaimShard(options);
    }

    void finishOne()
    {
        const std::size_t index = m_random() % m_inFlight.size();
        const InFlight item = m_inFlight[index];
        m_inFlight.erase(m_inFlight.begin() + static_cast<std::ptrdiff_t>(index));
        ClaimCallResult result;
        const int dice = static_cast<int>(m_random() % 100);
        if (dice >= m_faults.notDone)
            result = m_calls.perform(item.call);
        if (dice >= m_faults.notDone && dice < m_faults.notDone + m_faults.lostAnswers)
            result = {};
        if (item.generation == m_generation[item.writer])
            m_writers[item.writer].callDone(result, m_now);
    }

    void collect()
    {
        for (ClaimShard &writer : m_writers)
            std::ranges::move(writer.takeAnswers(), std::back_inserter(m_answers));
    }

    const ObjectTable &readTable(std::uint64_t notOlderThan)
    {
        if (m_random() % 50 == 0)
            m_replica = m_table;
        const bool stale = static_cast<int>(m_random() % 100) < m_faults.stale
                           && notOlderThan <= m_replica.lastVersion();
        return stale ? m_replica : m_table;
    }

    std::mt19937_64 m_random;
    StoreFaults m_faults;
    std::uint64_t m_compactEvery;
    ObjectTable m_table;
    ObjectTable m_replica;
    standin::ClaimCalls m_calls{m_table,
                                [this](std::uint64_t notOlderThan) -> const ObjectTable & {
                                    return readTable(notOlderThan);
                                },
                                listedObjects};
    std::vector<ClaimShard> m_writers;
    std::vector<std::uint64_t> m_generation;
    std::vector<InFlight> m_inFlight;
    std::vector<claims::Answer> m_answers;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_tokens = 0;
    TimePoint m_now{seconds(1000)};
};

/// Each key has at most one request that was told it holds it.
void requireOneHolder(const Writers &writers)
{
    std::map<std::string, ClaimToken> holders;
    std::set<ClaimToken> answered;
    for (const claims::Answer &answer : writers.answers()) {
        BOOST_TEST(answered.insert(answer.token).second);
        if (answer.result.status != ClaimStatus::Claimed)
            continue;
        const auto [holder, inserted] = holders.emplace(answer.result.holder.key, answer.token);
        BOOST_TEST(inserted, "two holders of " << holder->first);
    }
}

void runRaces(StoreFaults faults, std::uint64_t compactEvery, bool restarts)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Writers writers(seed, 3, faults, compactEvery);
        std::mt19937_64 random(seed * 7);
        for (int i = 0; i < 150; ++i) {
            writers.submit(random() % 3, fmt::format("key-{}", random() % 40));
            writers.run(static_cast<int>(random() % 12));
            if (restarts && random() % 15 == 0)
                writers.restart(random() % 3);
        }
        writers.heal();
        writers.run(4000);
        requireOneHolder(writers);
        BOOST_TEST(!writers.answers().empty());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimShardTest)

BOOST_AUTO_TEST_CASE(oneRequestHoldsAKey)
{
    runRaces({}, 1000, false);
}

BOOST_AUTO_TEST_CASE(lostAnswersDoNotMakeTwoHolders)
{
    runRaces({30, 10, 0}, 1000, false);
}

BOOST_AUTO_TEST_CASE(oldReadsDoNotMakeTwoHolders)
{
    runRaces({10, 10, 40}, 1000, true);
}

BOOST_AUTO_TEST_CASE(compactionUnderFaultsDoesNotMakeTwoHolders)
{
    runRaces({20, 10, 30}, 5, true);
}

BOOST_AUTO_TEST_CASE(aWriterBehindACompactionFindsOut)
{
    Writers writers(5, 2, {}, 4);
    writers.submit(1, "first");
    writers.run(200);
    // Writer 1 sleeps while writer 0 fills and compacts the log.
    for (int i = 0; i < 30; ++i) {
        writers.submit(0, fmt::format("key-{}", i));
        writers.run(60);
    }
    BOOST_TEST(writers.writer(1).nextIndex() < writers.writer(0).nextIndex());
    writers.submit(1, "key-3");
    writers.run(400);
    requireOneHolder(writers);
    const auto &last = writers.answers().back();
    BOOST_TEST((last.result.status == ClaimStatus::Exists));
    BOOST_TEST(last.result.holder.request.incarnation == 1U);
}

BOOST_AUTO_TEST_CASE(aClaimThatDidNotRunCanBeReplacedOnce)
{
    Writers writers(9, 3, {}, 1000);
    writers.submit(0, "key");
    writers.run(200);
    const ClaimToken first = writers.answers().front().token;
    writers.submit(1, "key", first);
    writers.submit(2, "key", first);
    writers.run(600);
    const auto claimed = std::ranges::count_if(writers.answers(), [](const auto &answer) {
        return answer.result.status == ClaimStatus::Claimed;
    });
    BOOST_TEST(claimed == 2);
    BOOST_TEST(writers.answers().size() == 3U);
}

BOOST_AUTO_TEST_CASE(claimsAreCommittedInGroups)
{
    Writers writers(3, 1, {}, 1000);
    writers.submit(0, "warm");
    writers.run(200);
    const auto before = writers.writes();
    for (int i = 0; i < 100; ++i)
        writers.submit(0, fmt::format("key-{}", i));
    writers.run(300);
    BOOST_TEST(writers.answers().size() == 101U);
    BOOST_TEST(writers.writes() - before <= 2U);
}

BOOST_AUTO_TEST_CASE(anUnansweredClaimIsReportedInTime)
{
    ClaimShardOptions options;
    options.answerBound = milliseconds(500);
    ClaimShard shard(options);
    TimePoint now{seconds(10)};
    ClaimRecord record;
    record.workspace = "ws";
    record.key = "key";
    record.gateName = "up";
    record.token = 1;
    shard.submit(record, now);
    BOOST_TEST(shard.takeCall(now).has_value());
    now += milliseconds(600);
    shard.tick(now, wallStart);
    const auto answers = shard.takeAnswers();
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.front().result.status == ClaimStatus::Unavailable));
}

BOOST_AUTO_TEST_CASE(malformedLogObjectsAreSkipped)
{
    for (const std::string_view text : {"", "{}", "[]", R"({"writer":"x","records":[]})",
                                        R"({"writer":"0000000000000001","records":[{}]})",
                                        R"({"writer":"0000000000000001","records":[],"x":1})"})
        BOOST_TEST(!decodeClaimBatch(text).has_value());
    Writers writers(3, 1, {}, 1000);
    writers.table().put("claims/000/log/000000000000", "not json", ObjectTable::Condition::None, 0);
    writers.submit(0, "key");
    writers.run(300);
    BOOST_REQUIRE(writers.answers().size() == 1U);
    BOOST_TEST((writers.answers().front().result.status == ClaimStatus::Claimed));
}

BOOST_AUTO_TEST_SUITE_END()
