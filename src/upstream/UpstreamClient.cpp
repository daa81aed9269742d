#include "upstream/UpstreamClient.h"

#include "base/AsioPch.h"
#include "http/HttpClient.h"
#include "process/Contexts.h"

#include <atomic>
#include <unordered_map>

namespace tamarack {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds connectTimeout{500};
constexpr milliseconds probeTimeout{1000};
constexpr milliseconds orderTimeout{120'000};
constexpr milliseconds readTimeout{600'000};
constexpr milliseconds pausePoll{5};
constexpr std::string_view requestIdHeader = "X-Request-Id";
constexpr std::string_view eventPrefix = "data: ";
constexpr std::string_view endOfEvents = "data: [DONE]";

int countTokens(std::string_view bytes)
{
    int tokens = 0;
    for (auto at = bytes.find(eventPrefix); at != std::string_view::npos;
         at = bytes.find(eventPrefix, at + eventPrefix.size()))
        ++tokens;
    return bytes.find(endOfEvents) == std::string_view::npos ? tokens : tokens - 1;
}

struct ActiveStream
{
    explicit ActiveStream(const asio::any_io_executor &executor)
        : http(executor)
    {}

    HttpStream http;
    bool eventStream = false;
    std::atomic<bool> paused{false};
    std::atomic<bool> cancelled{false};
};

using ActiveStreamPtr = std::shared_ptr<ActiveStream>;

} // namespace

struct UpstreamClient::Private : std::enable_shared_from_this<UpstreamClient::Private>
{
    Private(Contexts &processContexts, UpstreamSettings upstreamSettings,
            UpstreamEvents upstreamEvents)
        : contexts(processContexts)
        , settings(std::move(upstreamSettings))
        , events(std::move(upstreamEvents))
        , client(processContexts.control().get_executor())
    {}

    template <typename Callback>
    void post(Callback callback)
    {
        asio::post(contexts.control(), [self = shared_from_this(), callback] { callback(*self); });
    }

    bool isEngine() const { return settings.kind == "engine"; }

    ActiveStreamPtr addStream(asio::io_context &context, RequestId id)
    {
        auto stream = std::make_shared<ActiveStream>(context.get_executor());
        streams[id] = stream;
        return stream;
    }

    asio::awaitable<void> run(RequestId id, ActiveStreamPtr stream, HttpRequest request,
                              bool resumed)
    {
        const auto reply = co_await stream->http.open(settings.endpoint, std::move(request),
                                                      connectTimeout, readTimeout);
        if (!reply)
            co_return openFailed(id, reply.error().kind, resumed);
        if (resumed && reply->status == 404)
            co_return post([id](Private &p) { p.finished(id, false); });
        if (isEngine() && !resumed && reply->status == 503)
            co_return post([id](Private &p) { p.refused(id); });
        const auto type = std::string(
            findHeader(reply->headers, "Content-Type").value_or("application/octet-stream"));
        stream->eventStream = type.starts_with("text/event-stream");
        const auto status = static_cast<std::uint16_t>(reply->status);
        post([id, status, type](Private &p) { p.events.head(id, status, type); });
        co_await readBody(id, stream);
    }

    asio::awaitable<void> readBody(RequestId id, ActiveStreamPtr stream)
    {
        while (true) {
            co_await waitWhilePaused(*stream);
            auto piece = co_await stream->http.read(readTimeout);
            if (stream->cancelled)
                co_return;
            if (!piece)
                co_return post([id](Private &p) { p.lost(id); });
            if (!*piece)
                co_return post([id](Private &p) { p.finished(id, true); });
            const int tokens = stream->eventStream ? countTokens(**piece) : 0;
            post([id, tokens, bytes = std::move(**piece)](Private &p) {
                p.events.bytes(id, bytes, tokens);
            });
        }
    }

    static asio::awaitable<void> waitWhilePaused(ActiveStream &stream)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (stream.paused && !stream.cancelled) {
            timer.expires_after(pausePoll);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    void openFailed(RequestId id, ErrorKind kind, bool resumed)
    {
        const bool nothingSent = kind == ErrorKind::UpstreamRefused && !resumed;
        post([id, nothingSent](Private &p) {
            if (!nothingSent)
                return p.lost(id);
            p.streams.erase(id);
            p.events.startFailed(id);
        });
    }

    void finished(RequestId id, bool complete)
    {
        streams.erase(id);
        events.end(id, complete);
    }

    void refused(RequestId id)
    {
        streams.erase(id);
        events.refused(id);
    }

    void lost(RequestId id)
    {
        streams.erase(id);
        events.broken(id);
    }

    void spawn(RequestId id, HttpRequest request, bool resumed)
    {
        asio::io_context &context = contexts.nextTraffic();
        auto stream = addStream(context, id);
        auto task = [self = shared_from_this(), id, stream, request = std::move(request),
                     resumed]() mutable {
            return self->run(id, stream, std::move(request), resumed);
        };
        // The frame of the task must outlive the coroutine that it returns.
        auto kept = std::make_shared<decltype(task)>(std::move(task));
        asio::co_spawn(
            context, [kept] { return (*kept)(); }, [kept](const std::exception_ptr &) {});
    }

    Contexts &contexts;
    UpstreamSettings settings;
    UpstreamEvents events;
    HttpClient client;
    std::unordered_map<RequestId, ActiveStreamPtr> streams;
};

UpstreamClient::UpstreamClient(Contexts &contexts, UpstreamSettings settings, UpstreamEvents events)
    : m_private(std::make_shared<Private>(contexts, std::move(settings), std::move(events)))
{}

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::start(gate::Start action)
{
    HttpRequest request;
    request.method = std::move(action.body.method);
    request.target = std::move(action.body.path);
    request.headers = {{std::string(requestIdHeader), toString(action.request)}};
    if (!action.body.contentType.empty())
        request.headers.emplace_back("Content-Type", std::move(action.body.contentType));
    request.body = std::move(action.body.body);
    m_private->spawn(action.request, std::move(request), false);
}

void UpstreamClient::resume(const gate::ResumeStream &action)
{
    HttpRequest request;
    request.method = "GET";
    request.target =
        "/streams/" + toString(action.request) + "?offset=" + std::to_string(action.offset);
    m_private->spawn(action.request, std::move(request), true);
}

void UpstreamClient::cancel(RequestId request)
{
    if (const auto found = m_private->streams.find(request); found != m_private->streams.end()) {
        found->second->cancelled = true;
        m_private->streams.erase(found);
    }
    asio::co_spawn(
        m_private->contexts.control(),
        [p = m_private, request]() -> asio::awaitable<void> {
            HttpRequest call{"DELETE", "/streams/" + toString(request), {}, ""};
            co_await p->client.call(p->settings.endpoint, std::move(call), probeTimeout);
        },
        asio::detached);
}

void UpstreamClient::setPaused(RequestId request, bool paused)
{
    const auto found = m_private->streams.find(request);
    if (found != m_private->streams.end())
        found->second->paused = paused;
}

asio::awaitable<ProbeResult> UpstreamClient::probe()
{
    const auto p = m_private;
    HttpRequest request{"GET", "/health", {}, ""};
    const auto reply =
        co_await p->client.call(p->settings.endpoint, std::move(request), probeTimeout);
    ProbeResult result;
    if (!reply) {
        const bool down = reply.error().kind != ErrorKind::Timeout;
        result.health = down ? EngineHealth::Down : EngineHealth::Unresponsive;
        co_return result;
    }
    boost::system::error_code error;
    const json::value document = json::parse(reply->body, error);
    result.health = reply->status == 200 ? EngineHealth::Up : EngineHealth::Unresponsive;
    if (error || !document.is_object())
        co_return result;
    const json::object &object = document.get_object();
    if (const auto *boot = object.if_contains("boot"); boot && boot->is_string())
        result.boot = parseHex64(std::string_view(boot->get_string())).value_or(0);
    if (const auto *models = object.if_contains("models"); models && models->is_array()) {
        for (const auto &model : models->get_array())
            result.models.emplace_back(model.as_string());
    }
    co_return result;
}

asio::awaitable<std::vector<RunningStream>> UpstreamClient::runningStreams()
{
    const auto p = m_private;
    HttpRequest request{"GET", "/streams", {}, ""};
    const auto reply =
        co_await p->client.call(p->settings.endpoint, std::move(request), probeTimeout);
    std::vector<RunningStream> running;
    boost::system::error_code error;
    const json::value document = reply ? json::parse(reply->body, error) : json::value();
    const auto *object = document.if_object();
    const auto *items = object ? object->if_contains("running") : nullptr;
    if (error || !items || !items->is_array())
        co_return running;
    for (const auto &item : items->get_array()) {
        const auto id = parseRequestId(std::string_view(item.at("id").as_string()));
        if (id)
            running.push_back({*id, std::string(item.at("model").as_string())});
    }
    co_return running;
}

asio::awaitable<Result<void>> UpstreamClient::order(Generation generation,
                                                    std::vector<std::string> models)
{
    const auto p = m_private;
    json::array names;
    for (const auto &model : models)
        names.emplace_back(model);
    const json::object order{{"generation", generation}, {"models", names}};
    HttpRequest request{"POST", "/orders", {}, json::serialize(order)};
    const auto reply =
        co_await p->client.call(p->settings.endpoint, std::move(request), orderTimeout);
    if (!reply)
        co_return tl::unexpected(reply.error());
    if (reply->status == 409)
        co_return failure(ErrorKind::VersionConflict, "the engine has seen a newer order");
    if (reply->status != 200)
        co_return failure(ErrorKind::UpstreamFailed, "the engine refused the order");
    co_return Result<void>();
}

} // namespace tamarack
