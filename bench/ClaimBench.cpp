#include "claims/ClaimBook.h"
#include "model/ClaimCalls.h"
#include "model/ObjectTable.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <spdlog/fmt/fmt.h>

ABSL_FLAG(int, entries, 8, "entries that write claims");
ABSL_FLAG(int, shards, 4, "shards of the claim log");
ABSL_FLAG(double, rate, 800, "keyed calls a second over all entries");
ABSL_FLAG(int, seconds, 10, "virtual time of each run");
ABSL_FLAG(int, seed, 1, "seed of the arrivals");

namespace {

using namespace tamarack;
using standin::ObjectTable;

constexpr milliseconds storeTime{3};
constexpr std::size_t listedObjects = 200;

/// Claims of several entries against one object API on a virtual clock.
class ClaimRun
{
public:
    ClaimRun(Duration batchDelay, std::size_t largestBatch)
        : m_random(static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)))
    {
        ClaimShardOptions options;
        options.batchDelay = batchDelay;
        options.largestBatch = largestBatch;
        options.answerBound = std::chrono::seconds(60);
        for (int i = 0; i < absl::GetFlag(FLAGS_entries); ++i) {
            options.writer = static_cast<Incarnation>(i + 1) << 48;
            m_books.emplace_back(static_cast<std::size_t>(absl::GetFlag(FLAGS_shards)), options);
        }
    }

    void run()
    {
        const TimePoint end = m_now + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
        scheduleArrival();
        scheduleTick();
        while (!m_events.empty() && m_events.top().time < end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
    }

    void print(std::string_view name)
    {
        std::ranges::sort(m_latencies);
        const double seconds = absl::GetFlag(FLAGS_seconds);
        const auto at = [this](double share) {
            return m_latencies.empty() ? 0
                                       : m_latencies[static_cast<std::size_t>(
                                           share * static_cast<double>(m_latencies.size() - 1))];
        };
        fmt::print("{:<28} {:>8} {:>9.0f} {:>9.0f} {:>9.1f} {:>9.1f}\n", name, m_latencies.size(),
                   static_cast<double>(m_calls.writes()) / seconds,
                   static_cast<double>(m_calls.reads()) / seconds, at(0.5), at(0.99));
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    void in(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_sequence, std::move(action)});
    }

    void scheduleArrival()
    {
        std::exponential_distribution<double> gap(absl::GetFlag(FLAGS_rate));
        const auto delay =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
        in(delay, [this] {
            const std::size_t entry = m_random() % m_books.size();
            ClaimRecord record;
            record.workspace = "ws";
            record.key = fmt::format("key-{}", ++m_keys);
            record.gateName = "up";
            record.token = m_keys;
            m_sentAt[m_keys] = m_now;
            m_books[entry].submit(std::move(record), m_now);
            pump(entry);
            scheduleArrival();
        });
    }

    void scheduleTick()
    {
        for (std::size_t entry = 0; entry < m_books.size(); ++entry) {
            m_books[entry].tick(m_now, 0);
            pump(entry);
        }
        in(milliseconds(1), [this] { scheduleTick(); });
    }

    void pump(std::size_t entry)
    {
        for (std::size_t shard = 0; shard < m_books[entry].size(); ++shard) {
            auto call = m_books[entry].shard(shard).takeCall(m_now);
            if (!call)
                continue;
            auto result = std::make_shared<ClaimCallResult>();
            in(storeTime / 2, [this, call = *call, result] { *result = m_calls.perform(call); });
            in(storeTime, [this, entry, shard, result] {
                m_books[entry].shard(shard).callDone(*result, m_now);
                pump(entry);
            });
        }
        for (const claims::Answer &answer : m_books[entry].takeAnswers())
            m_latencies.push_back(
                std::chrono::duration<double, std::milli>(m_now - m_sentAt.at(answer.token))
                    .count());
    }

    TimePoint m_now{std::chrono::seconds(1000)};
    std::mt19937_64 m_random;
    std::vector<ClaimBook> m_books;
    ObjectTable m_table;
    standin::ClaimCalls m_calls{
        m_table, [this](std::uint64_t) -> const ObjectTable & { return m_table; }, listedObjects};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::unordered_map<ClaimToken, TimePoint> m_sentAt;
    std::vector<double> m_latencies;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_keys = 0;
};

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    fmt::print("{} entries, {} shards, {:.0f} keyed calls a second, object API answers in 3 ms\n",
               absl::GetFlag(FLAGS_entries), absl::GetFlag(FLAGS_shards),
               absl::GetFlag(FLAGS_rate));
    fmt::print("{:<28} {:>8} {:>9} {:>9} {:>9} {:>9}\n", "batching", "claimed", "writes/s",
               "reads/s", "p50 ms", "p99 ms");
    ClaimRun single(milliseconds(0), 1);
    single.run();
    single.print("one write a request");
    for (const int delay : {0, 2, 5, 10, 20, 50}) {
        ClaimRun run(milliseconds(delay), 500);
        run.run();
        run.print(fmt::format("group commit, {} ms", delay));
    }
    return 0;
}
