#include "model/ObjectTable.h"
#include "model/StandinServer.h"

#include <absl/flags/flag.h>

#include <charconv>
#include <deque>
#include <random>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on");
ABSL_FLAG(int, writes_per_second, 500, "rate limit of writes");
ABSL_FLAG(int, reads_per_second, 2000, "rate limit of reads");
ABSL_FLAG(int, delay_ms, 2, "time that each call takes");
ABSL_FLAG(int, seed, 1, "seed of everything random");

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace tamarack;
using namespace tamarack::standin;

constexpr std::size_t listedObjects = 200;
constexpr std::size_t largestValueBytes = 1 << 20;
constexpr milliseconds watchPoll{5};

/// Counts calls in the last second.
class RateLimit
{
public:
    explicit RateLimit(int perSecond)
        : m_perSecond(static_cast<std::size_t>(perSecond))
    {}

    bool take()
    {
        const auto now = std::chrono::steady_clock::now();
        while (!m_calls.empty() && now - m_calls.front() > std::chrono::seconds(1))
            m_calls.pop_front();
        if (m_calls.size() >= m_perSecond)
            return false;
        m_calls.push_back(now);
        return true;
    }

private:
    std::size_t m_perSecond;
    std::deque<TimePoint> m_calls;
};

std::uint64_t numberOf(std::optional<std::string_view> text)
{
    std::uint64_t value = 0;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), value);
    return value;
}

class ObjectApi
{
public:
    ObjectApi()
        : m_random(static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)))
        , m_writes(absl::GetFlag(FLAGS_writes_per_second))
        , m_reads(absl::GetFlag(FLAGS_reads_per_second))
    {}

    asio::awaitable<void> serve(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        if (request.path() == "/control")
            co_return co_await control(exchange);
        if (request.path() == "/counts")
            co_return co_await send(exchange, plainResponse(200, countsText()));
        if (m_down) {
            exchange.abort();
            co_return;
        }
        co_await sleepFor(m_delay);
        const bool write = request.method != "GET";
        write ? ++m_writeCount : ++m_readCount;
        if (!(write ? m_writes : m_reads).take())
            co_return co_await send(exchange, plainResponse(429, "{}"));
        if (request.path() == "/objects")
            co_return co_await send(exchange, list(request));
        if (!request.path().starts_with("/objects/"))
            co_return co_await send(exchange, plainResponse(404, "{}"));
        const std::string key(request.path().substr(9));
        if (!write)
            co_return co_await read(exchange, key);
        HttpResponse response = request.method == "PUT" ? put(request, key) : remove(key);
        // The write has taken effect; only its answer is lost.
        if (m_loseAnswers > 0 && percent() < m_loseAnswers) {
            exchange.abort();
            co_return;
        }
        co_await send(exchange, std::move(response));
    }

private:
    static asio::awaitable<void> send(HttpExchange &exchange, HttpResponse response)
    {
        co_await exchange.respond(std::move(response));
    }

    int percent() { return static_cast<int>(m_random() % 100); }

    asio::awaitable<void> control(HttpExchange &exchange)
    {
        boost::system::error_code error;
        const json::value document = json::parse(exchange.request().body, error);
        const auto *object = document.if_object();
        if (error || !object)
            co_return co_await send(exchange, plainResponse(400, "{}"));
        if (const auto *value = object->if_contains("down"))
            m_down = value->as_bool();
        if (const auto *value = object->if_contains("delay_ms"))
            m_delay = milliseconds(value->to_number<int>());
        if (const auto *value = object->if_contains("lose_answers_percent"))
            m_loseAnswers = value->to_number<int>();
        if (const auto *value = object->if_contains("stale_reads"))
            freezeReads(value->as_bool());
        co_await send(exchange, plainResponse(200, "{}"));
    }

    /// While frozen, reads without a lower bound on the version come from an old replica.
    void freezeReads(bool frozen)
    {
        m_staleReads = frozen;
        m_replica = m_table;
    }

    const ObjectTable &tableFor(std::uint64_t notOlderThan) const
    {
        const bool stale = m_staleReads && notOlderThan <= m_replica.lastVersion();
        return stale ? m_replica : m_table;
    }

    static HttpResponse objectResponse(const ObjectTable::Object &object)
    {
        HttpResponse response = plainResponse(200, object.value);
        response.headers.emplace_back("ETag", "\"" + std::to_string(object.version) + "\"");
        return response;
    }

    asio::awaitable<void> read(HttpExchange &exchange, const std::string &key)
    {
        const HttpRequest &request = exchange.request();
        const auto watch = request.query("watch");
        const auto notOlderThan = numberOf(request.query("min"));
        const auto deadline =
            std::chrono::steady_clock::now() + milliseconds(numberOf(request.query("wait")));
        while (true) {
            const auto object = tableFor(notOlderThan).find(key);
            const bool news = object && object->version > numberOf(watch);
            if (object && (!watch || news))
                co_return co_await send(exchange, objectResponse(*object));
            if (!watch)
                co_return co_await send(exchange, plainResponse(404, "{}"));
            if (m_down)
                co_return exchange.abort();
            if (std::chrono::steady_clock::now() >= deadline)
                co_return co_await send(exchange, plainResponse(304, ""));
            co_await sleepFor(watchPoll);
        }
    }

    HttpResponse list(const HttpRequest &request) const
    {
        json::array rows;
        const auto objects = tableFor(numberOf(request.query("min")))
                                 .list(request.query("prefix").value_or(""),
                                       request.query("after").value_or(""), listedObjects);
        for (const auto &object : objects)
            rows.emplace_back(json::object{
                {"key", object.key}, {"value", object.value}, {"version", object.version}});
        return plainResponse(200, json::serialize(json::object{{"objects", rows}}));
    }

    HttpResponse put(const HttpRequest &request, const std::string &key)
    {
        if (request.body.size() > largestValueBytes)
            return plainResponse(413, "{}");
        const auto match = findHeader(request.headers, "If-Match");
        const bool absent = findHeader(request.headers, "If-None-Match").has_value();
        const auto condition = absent  ? ObjectTable::Condition::Absent
                               : match ? ObjectTable::Condition::Version
                                       : ObjectTable::Condition::None;
        const std::uint64_t expected =
            match && match->size() > 2 ? numberOf(match->substr(1, match->size() - 2)) : 0;
        const auto version = m_table.put(key, request.body, condition, expected);
        if (!version)
            return plainResponse(412, "{}");
        HttpResponse response = plainResponse(200, "{}");
        response.headers.emplace_back("ETag", "\"" + std::to_string(*version) + "\"");
        return response;
    }

    HttpResponse remove(const std::string &key)
    {
        return plainResponse(m_table.remove(key) ? 200 : 404, "{}");
    }

    std::string countsText() const
    {
        return json::serialize(json::object{{"writes", m_writeCount}, {"reads", m_readCount}});
    }

    std::mt19937_64 m_random;
    ObjectTable m_table;
    ObjectTable m_replica;
    RateLimit m_writes;
    RateLimit m_reads;
    milliseconds m_delay{absl::GetFlag(FLAGS_delay_ms)};
    int m_loseAnswers = 0;
    bool m_down = false;
    bool m_staleReads = false;
    std::uint64_t m_writeCount = 0;
    std::uint64_t m_readCount = 0;
};

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context(1);
    ObjectApi api;
    return serve(context, absl::GetFlag(FLAGS_listen),
                 [&api](HttpExchange &exchange) { return api.serve(exchange); });
}
