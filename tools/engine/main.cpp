#include "base/Hash.h"
#include "base/RequestId.h"
#include "model/EngineModel.h"
#include "model/StandinServer.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <random>
#include <set>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on");
ABSL_FLAG(std::string, models, "model", "comma-separated models served");
ABSL_FLAG(int, generation, 2, "hardware generation, 1 (slow) to 3 (fast)");
ABSL_FLAG(bool, instant, false, "answer at once instead of at the speed of an engine");
ABSL_FLAG(bool, check_fencing, false, "refuse orders with an old fencing number");
ABSL_FLAG(std::string, crash_on, "", "crash when a prompt contains this text");
ABSL_FLAG(int, restart_ms, 3000, "time until a crashed engine answers again; 0 exits");
ABSL_FLAG(int, load_delay_ms, 2000, "lag of the load report");
ABSL_FLAG(int, seed, 1, "seed of everything random");

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace tamarack;
using namespace tamarack::standin;

constexpr std::size_t keptStreams = 20'000;
constexpr std::size_t loggedRequests = 1'000'000;
constexpr std::size_t keptCacheEvents = 1000;
constexpr std::uint32_t defaultOutputTokens = 64;
constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t prefixBytes = 512;
constexpr milliseconds modelLoadTime{300};

/// One answer, with all bytes produced so far so that it can be resumed.
struct Stream
{
    std::string model;
    bool events = true;
    bool chat = false;
    std::string bytes;
    std::uint32_t tokens = 0;
    bool ended = false;
    bool cancelled = false;
    std::uint64_t seed = 0;
};

using StreamPtr = std::shared_ptr<Stream>;

class Engine
{
public:
    explicit Engine(asio::io_context &context)
        : m_context(context)
        , m_model(engineSpeed(absl::GetFlag(FLAGS_generation)))
        , m_random(static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)))
        , m_wake(context, asio::steady_timer::time_point::max())
    {
        std::stringstream names(absl::GetFlag(FLAGS_models));
        for (std::string name; std::getline(names, name, ',');)
            m_models.push_back(name);
        m_crashOn = absl::GetFlag(FLAGS_crash_on);
        m_boot = m_random();
    }

    asio::awaitable<void> serve(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        const std::string_view path = request.path();
        if (path == "/control")
            co_return co_await control(exchange);
        if (path == "/log")
            co_return co_await send(exchange, plainResponse(200, logText()));
        if (m_down) {
            exchange.abort();
            co_return;
        }
        if (m_silent)
            co_return co_await sleepFor(std::chrono::hours(1));
        if (path == "/health")
            co_return co_await send(exchange, plainResponse(200, health()));
        if (path == "/load")
            co_return co_await send(exchange, plainResponse(200, loadReport()));
        if (path == "/cache-events")
            co_return co_await send(exchange, plainResponse(200, cacheEvents()));
        if (path == "/orders")
            co_return co_await order(exchange);
        if (path == "/streams")
            co_return co_await send(exchange, plainResponse(200, runningText()));
        if (path.starts_with("/streams/"))
            co_return co_await oneStream(exchange, path.substr(9));
        if (path == "/v1/completions" || path == "/v1/chat/completions")
            co_return co_await complete(exchange);
        co_await send(exchange, plainResponse(404, "{}"));
    }

    /// Steps the engine in real time.
    asio::awaitable<void> run()
    {
        while (true) {
            if (m_model.idle() || m_stalled) {
                m_wake.expires_after(milliseconds(50));
                co_await m_wake.async_wait(asio::as_tuple(asio::use_awaitable));
                continue;
            }
            const auto started = std::chrono::steady_clock::now();
            const Duration step = m_model.beginStep();
            asio::steady_timer timer(m_context);
            timer.expires_at(std::max(started, m_stepEnd) + step);
            m_stepEnd = timer.expiry();
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            for (const EngineToken &token : m_model.finishStep())
                produce(token);
            notify();
        }
    }

    asio::awaitable<void> reportLoad()
    {
        while (true) {
            m_loads.emplace_back(std::chrono::steady_clock::now(), m_model.running());
            if (m_loads.size() > keptCacheEvents)
                m_loads.pop_front();
            co_await sleepFor(milliseconds(100));
        }
    }

private:
    static asio::awaitable<void> send(HttpExchange &exchange, HttpResponse response)
    {
        co_await exchange.respond(std::move(response));
    }

    std::string health() const
    {
        json::array models;
        for (const auto &model : m_models)
            models.emplace_back(model);
        return json::serialize(json::object{{"boot", hex64(m_boot)}, {"models", models}});
    }

    std::string loadReport() const
    {
        const auto asOf =
            std::chrono::steady_clock::now() - milliseconds(absl::GetFlag(FLAGS_load_delay_ms));
        std::size_t running = 0;
        for (const auto &[time, value] : m_loads) {
            if (time <= asOf)
                running = value;
        }
        return json::serialize(json::object{{"running", running}});
    }

    /// Late and with gaps: one event in five is lost.
    std::string cacheEvents() const
    {
        json::array events;
        for (const auto &event : m_cacheEvents)
            events.emplace_back(hex64(event));
        return json::serialize(json::object{{"stored", events}});
    }

    std::string logText() const
    {
        json::array ids;
        for (const auto &id : m_log)
            ids.emplace_back(id);
        return json::serialize(
            json::object{{"requests", ids},
                         {"computed_prompt_tokens", m_model.computedPromptTokens()},
                         {"cached_prompt_tokens", m_model.cachedPromptTokens()},
                         {"generated_tokens", m_model.generatedTokens()},
                         {"order_generation", m_orderGeneration},
                         {"crashes", m_crashes}});
    }

    std::string runningText() const
    {
        json::array running;
        for (const auto &[id, stream] : m_streams) {
            if (!stream->ended && !stream->cancelled)
                running.emplace_back(json::object{{"id", id}, {"model", stream->model}});
        }
        return json::serialize(json::object{{"running", running}});
    }

    asio::awaitable<void> control(HttpExchange &exchange)
    {
        boost::system::error_code error;
        const json::value document = json::parse(exchange.request().body, error);
        if (error || !document.is_object())
            co_return co_await send(exchange, plainResponse(400, "{}"));
        for (const auto &row : document.get_object())
            applyControl(row.key(), row.value());
        co_await send(exchange, plainResponse(200, "{}"));
    }

    void applyControl(std::string_view key, const json::value &value)
    {
        if (key == "crash_on")
            m_crashOn = std::string(value.as_string());
        else if (key == "slowdown")
            m_model.setSlowdown(value.to_number<double>());
        else if (key == "stall")
            m_stalled = value.as_bool();
        else if (key == "silent")
            m_silent = value.as_bool();
        else if (key == "refuse")
            m_refuse = value.as_bool();
        else if (key == "crash")
            crash();
        else if (key == "break_streams")
            ++m_breakEpoch;
        notify();
    }

    void crash()
    {
        ++m_crashes;
        const int restart = absl::GetFlag(FLAGS_restart_ms);
        if (restart == 0)
            std::_Exit(42);
        m_down = true;
        m_model.clear();
        m_streams.clear();
        m_order.clear();
        notify();
        auto timer = std::make_shared<asio::steady_timer>(m_context, milliseconds(restart));
        timer->async_wait([this, timer](boost::system::error_code) {
            m_boot = m_random();
            m_down = false;
        });
    }

    asio::awaitable<void> order(HttpExchange &exchange)
    {
        boost::system::error_code error;
        const json::value document = json::parse(exchange.request().body, error);
        if (error)
            co_return co_await send(exchange, plainResponse(400, "{}"));
        const auto generation = document.at("generation").to_number<std::uint64_t>();
        if (absl::GetFlag(FLAGS_check_fencing) && generation < m_orderGeneration)
            co_return co_await send(exchange, plainResponse(409, "{}"));
        co_await sleepFor(modelLoadTime);
        m_orderGeneration = generation;
        m_models.clear();
        for (const auto &model : document.at("models").as_array())
            m_models.emplace_back(model.as_string());
        co_await send(exchange, plainResponse(200, "{}"));
    }

    asio::awaitable<void> oneStream(HttpExchange &exchange, std::string_view id)
    {
        const auto found = m_streams.find(std::string(id));
        if (found == m_streams.end())
            co_return co_await send(exchange, plainResponse(404, "{}"));
        const StreamPtr stream = found->second;
        if (exchange.request().method == "DELETE") {
            stream->cancelled = true;
            if (const auto request = parseRequestId(id))
                m_model.cancel(*request);
            notify();
            co_return co_await send(exchange, plainResponse(200, "{}"));
        }
        const auto offset = exchange.request().query("offset").value_or("0");
        co_await follow(exchange, stream, std::stoull(std::string(offset)));
    }

    asio::awaitable<void> complete(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        boost::system::error_code error;
        const json::value document = json::parse(request.body, error);
        const auto *object = document.if_object();
        if (error || !object)
            co_return co_await send(exchange, plainResponse(400, "{}"));
        if (m_refuse)
            co_return co_await send(exchange, plainResponse(503, "{}"));
        const std::string id(findHeader(request.headers, "X-Request-Id").value_or(""));
        if (m_log.size() < loggedRequests)
            m_log.push_back(id);
        const std::string prompt = promptOf(*object);
        if (!m_crashOn.empty() && prompt.find(m_crashOn) != std::string::npos) {
            // A crash comes while the prompt is computed, after the request was taken.
            co_await sleepFor(milliseconds(20));
            crash();
            exchange.abort();
            co_return;
        }
        const StreamPtr stream =
            admit(id, *object, prompt, request.path().ends_with("chat/completions"));
        co_await follow(exchange, stream, 0);
    }

    static std::string promptOf(const json::object &object)
    {
        if (const auto *prompt = object.if_contains("prompt"); prompt && prompt->is_string())
            return std::string(prompt->get_string());
        if (const auto *messages = object.if_contains("messages"))
            return json::serialize(*messages);
        return "";
    }

    StreamPtr admit(const std::string &id, const json::object &object, const std::string &prompt,
                    bool chat)
    {
        auto stream = std::make_shared<Stream>();
        const auto *events = object.if_contains("stream");
        const auto *model = object.if_contains("model");
        const auto *bound = object.if_contains("max_tokens");
        stream->events = events && events->is_bool() && events->get_bool();
        stream->chat = chat;
        stream->model = model && model->is_string() ? std::string(model->get_string()) : "";
        stream->seed = fnv1a(prompt);
        EngineJob job;
        job.id = parseRequestId(id).value_or(RequestId{0, ++m_anonymous});
        job.promptTokens = static_cast<std::uint32_t>(prompt.size() / bytesPerToken + 1);
        job.outputTokens =
            bound && bound->is_int64()
                ? static_cast<std::uint32_t>(std::max<std::int64_t>(1, bound->get_int64()))
                : defaultOutputTokens;
        if (prompt.size() >= prefixBytes) {
            job.prefix = fnv1a(prompt.substr(0, prefixBytes)) | 1;
            job.prefixTokens = prefixBytes / bytesPerToken;
        }
        const std::string key = toString(job.id);
        m_streams[key] = stream;
        m_order.push_back(key);
        if (m_order.size() > keptStreams) {
            m_streams.erase(m_order.front());
            m_order.pop_front();
        }
        m_running[job.id] = stream;
        if (m_random() % 5 != 0 && job.prefix != 0)
            m_cacheEvents.push_back(job.prefix);
        if (m_cacheEvents.size() > keptCacheEvents)
            m_cacheEvents.pop_front();
        if (absl::GetFlag(FLAGS_instant)) {
            for (std::uint32_t i = 0; i < job.outputTokens; ++i)
                produce({job.id, i, i + 1 == job.outputTokens});
        } else {
            m_model.submit(job);
        }
        notify();
        return stream;
    }

    static std::string word(const Stream &stream, std::uint32_t index)
    {
        return "w" + std::to_string((stream.seed + index) % 9973) + " ";
    }

    static std::string eventText(const Stream &stream, std::uint32_t index)
    {
        json::object choice{{"index", 0}};
        if (stream.chat)
            choice["delta"] = json::object{{"content", word(stream, index)}};
        else
            choice["text"] = word(stream, index);
        const json::object event{
            {"object", stream.chat ? "chat.completion.chunk" : "text_completion"},
            {"model", stream.model},
            {"choices", json::array{choice}}};
        return "data: " + json::serialize(event) + "\n\n";
    }

    static std::string wholeText(const Stream &stream)
    {
        std::string text;
        for (std::uint32_t i = 0; i < stream.tokens; ++i)
            text += word(stream, i);
        json::object choice{{"index", 0}, {"finish_reason", "length"}};
        if (stream.chat)
            choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
        else
            choice["text"] = text;
        return json::serialize(
            json::object{{"object", stream.chat ? "chat.completion" : "text_completion"},
                         {"model", stream.model},
                         {"choices", json::array{choice}},
                         {"usage", json::object{{"completion_tokens", stream.tokens}}}});
    }

    void produce(const EngineToken &token)
    {
        const auto found = m_running.find(token.id);
        if (found == m_running.end())
            return;
        Stream &stream = *found->second;
        if (stream.events)
            stream.bytes += eventText(stream, token.index);
        ++stream.tokens;
        if (!token.last)
            return;
        stream.bytes += stream.events ? "data: [DONE]\n\n" : wholeText(stream);
        stream.ended = true;
        m_running.erase(found);
    }

    asio::awaitable<void> follow(HttpExchange &exchange, StreamPtr stream, std::size_t sent)
    {
        HttpHeaders headers{
            {"Content-Type", stream->events ? "text/event-stream" : "application/json"}};
        if (!co_await exchange.startStream(200, std::move(headers)))
            co_return;
        const auto epoch = m_breakEpoch;
        while (true) {
            while (sent < stream->bytes.size()) {
                const std::string piece = stream->bytes.substr(sent);
                if (!co_await exchange.write(piece))
                    co_return;
                sent += piece.size();
            }
            if (m_down || stream->cancelled || epoch != m_breakEpoch)
                co_return exchange.abort();
            if (stream->ended) {
                co_await exchange.finish();
                co_return;
            }
            co_await waitForProgress();
        }
    }

    void notify()
    {
        m_wake.cancel();
        for (auto &waiter : std::exchange(m_waiters, {}))
            waiter->cancel();
    }

    asio::awaitable<void> waitForProgress()
    {
        auto timer =
            std::make_shared<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
        m_waiters.push_back(timer);
        co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    }

    asio::io_context &m_context;
    EngineModel m_model;
    std::mt19937_64 m_random;
    asio::steady_timer m_wake;
    std::vector<std::shared_ptr<asio::steady_timer>> m_waiters;
    std::vector<std::string> m_models;
    std::map<std::string, StreamPtr> m_streams;
    std::deque<std::string> m_order;
    std::map<RequestId, StreamPtr> m_running;
    std::vector<std::string> m_log;
    std::deque<std::uint64_t> m_cacheEvents;
    std::deque<std::pair<TimePoint, std::size_t>> m_loads;
    std::string m_crashOn;
    std::uint64_t m_boot = 0;
    std::uint64_t m_anonymous = 0;
    std::uint64_t m_orderGeneration = 0;
    std::uint64_t m_crashes = 0;
    std::uint64_t m_breakEpoch = 0;
    TimePoint m_stepEnd{};
    bool m_down = false;
    bool m_silent = false;
    bool m_stalled = false;
    bool m_refuse = false;
};

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context(1);
    Engine engine(context);
    asio::co_spawn(
        context, [&engine] { return engine.run(); }, asio::detached);
    asio::co_spawn(
        context, [&engine] { return engine.reportLoad(); }, asio::detached);
    return serve(context, absl::GetFlag(FLAGS_listen),
                 [&engine](HttpExchange &exchange) { return engine.serve(exchange); });
}
