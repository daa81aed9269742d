#include "entry/CallerApi.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "base/Log.h"
#include "base/Metrics.h"
#include "entry/CallerRequest.h"
#include "http/HttpServer.h"

#include <algorithm>
#include <mutex>
#include <optional>

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view requestIdHeader = "Tamarack-Request-Id";
constexpr std::uint64_t bytesBetweenAcks = 32 << 10;

/// What happened to one request so far, for its answer and its metrics.
struct Progress
{
    RequestId id;
    std::string tier;
    milliseconds firstTokenTarget{0};
    milliseconds betweenTokensTarget{0};
    bool stream = false;
    bool submitted = false;
    std::optional<CallerHead> head;
    std::string whole;
    std::uint64_t taken = 0;
    std::uint64_t acknowledged = 0;
    int pieces = 0;
    TimePoint startedAt{};
    TimePoint firstByteAt{};
};

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string messageFor(ErrorKind kind)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    switch (answer.outcome) {
    case Outcome::NotRun:
        return std::string(answer.name) + ": the request did not run";
    case Outcome::MayHaveRun:
        return std::string(answer.name) + ": the request may have run";
    case Outcome::Ran:
        return std::string(answer.name) + ": the request ran, its answer is no longer held";
    }
    return std::string(answer.name);
}

std::string tierLabel(const Progress &progress)
{
    return fmt::format("tier=\"{}\"", progress.tier);
}

} // namespace

struct CallerApi::Private
{
    Private(CallerPorts callerPorts, Metrics &processMetrics)
        : ports(std::move(callerPorts))
        , metrics(processMetrics)
    {}

    std::optional<std::string> workspaceOf(const HttpRequest &request)
    {
        const auto header = findHeader(request.headers, "Authorization");
        if (!header || !header->starts_with(bearerPrefix))
            return std::nullopt;
        const std::string digest = sha256Hex(header->substr(bearerPrefix.size()));
        const std::lock_guard lock(mutex);
        const auto found = std::ranges::find(tokens, digest, &TokenSettings::tokenSha256);
        if (found == tokens.end())
            return std::nullopt;
        return found->name;
    }

    asio::awaitable<void> refuse(HttpExchange &exchange, Error error)
    {
        metrics.add("tamarack_caller_errors_total",
                    fmt::format("reason=\"{}\"", errorAnswer(error.kind).name));
        HttpResponse response = errorResponse(error.kind, error.message, "");
        co_await exchange.respond(std::move(response));
    }

    asio::awaitable<void> servePlain(HttpExchange &exchange, int status, std::string body,
                                     std::string_view type)
    {
        HttpResponse response;
        response.status = status;
        response.headers.emplace_back("Content-Type", type);
        response.body = std::move(body);
        co_await exchange.respond(std::move(response));
    }

    asio::awaitable<void> serveModels(HttpExchange &exchange)
    {
        json::array rows;
        const auto config = ports.config();
        for (const std::string &model : config ? config->models : std::vector<std::string>())
            rows.emplace_back(
                json::object{{"id", model}, {"object", "model"}, {"owned_by", "tamarackseam"}});
        std::string body = json::serialize(json::object{{"object", "list"}, {"data", rows}});
        co_await servePlain(exchange, 200, std::move(body), "application/json");
    }

    bool isSchedulable(const HttpRequest &request) const
    {
        const std::string_view path = request.path();
        return path.starts_with("/v1/services/") || path == "/v1/chat/completions"
               || path == "/v1/completions";
    }

    asio::awaitable<void> serveSchedulable(HttpExchange &exchange, std::string workspace)
    {
        const auto config = ports.config();
        if (!config) {
            Error error{ErrorKind::NoUpstream, "no configuration is in force yet"};
            co_return co_await refuse(exchange, std::move(error));
        }
        const HttpRequest &request = exchange.request();
        const bool service = request.path().starts_with("/v1/services/");
        if (!service && request.method != "POST") {
            Error error{ErrorKind::BadRequest, "the method must be POST"};
            co_return co_await refuse(exchange, std::move(error));
        }
        auto submission = parseCallerRequest(request, workspace, *config);
        if (!submission)
            co_return co_await refuse(exchange, submission.error());
        Progress progress;
        const TierPolicy &tier = config->preset().tiers[submission->tier];
        progress.tier = tier.name;
        progress.firstTokenTarget = tier.firstTokenTarget;
        progress.betweenTokensTarget = config->preset().betweenTokensTarget;
        progress.stream = submission->body.stream;
        progress.startedAt = now();
        co_await follow(exchange, std::move(*submission), progress);
    }

    asio::awaitable<void> follow(HttpExchange &exchange, Submission submission, Progress &progress)
    {
        auto channel = std::make_shared<CallerChannel>(exchange.executor());
        exchange.onGone([channel] { channel->push({CallerFail{ErrorKind::CallerGone}}); });
        metrics.add("tamarack_requests_total", tierLabel(progress));
        ports.submit(std::move(submission), channel);
        bool open = true;
        while (open) {
            const CallerEvent event = co_await channel->next();
            open = co_await handle(exchange, event, progress);
        }
    }

    /// False once the request has ended.
    asio::awaitable<bool> handle(HttpExchange &exchange, const CallerEvent &event,
                                 Progress &progress)
    {
        if (const auto *submitted = std::get_if<CallerSubmitted>(&event)) {
            progress.id = submitted->request;
            progress.submitted = true;
            co_return true;
        }
        if (const auto *head = std::get_if<CallerHead>(&event)) {
            progress.head = *head;
            co_return co_await startAnswer(exchange, progress);
        }
        if (const auto *bytes = std::get_if<CallerBytes>(&event))
            co_return co_await passOn(exchange, bytes->bytes, progress);
        if (std::holds_alternative<CallerFinish>(event)) {
            co_await finish(exchange, progress);
            co_return false;
        }
        co_await fail(exchange, std::get<CallerFail>(event).kind, progress);
        co_return false;
    }

    HttpHeaders answerHeaders(const Progress &progress) const
    {
        return {{"Content-Type", progress.head ? progress.head->contentType : "text/plain"},
                {std::string(requestIdHeader), toString(progress.id)},
                {"Tamarack-Outcome", std::string(outcomeName(Outcome::Ran))}};
    }

    asio::awaitable<bool> startAnswer(HttpExchange &exchange, Progress &progress)
    {
        if (!progress.stream)
            co_return true;
        HttpHeaders headers = answerHeaders(progress);
        const bool sent = co_await exchange.startStream(progress.head->status, std::move(headers));
        if (!sent)
            ports.callerGone(progress.id);
        co_return sent;
    }

    asio::awaitable<bool> passOn(HttpExchange &exchange, const std::string &bytes,
                                 Progress &progress)
    {
        if (progress.pieces++ == 0) {
            progress.firstByteAt = now();
            metrics.observe("tamarack_first_token_seconds", tierLabel(progress),
                            seconds(progress.firstByteAt - progress.startedAt));
        }
        if (progress.stream) {
            const bool sent = co_await exchange.write(bytes);
            if (!sent) {
                ports.callerGone(progress.id);
                co_return false;
            }
        } else {
            progress.whole += bytes;
        }
        progress.taken += bytes.size();
        if (progress.taken - progress.acknowledged >= bytesBetweenAcks) {
            progress.acknowledged = progress.taken;
            ports.callerTook(progress.id, progress.taken);
        }
        co_return true;
    }

    asio::awaitable<void> finish(HttpExchange &exchange, Progress &progress)
    {
        bool sent = false;
        if (progress.stream) {
            sent = co_await exchange.finish();
        } else {
            HttpResponse response;
            response.status = progress.head ? progress.head->status : 200;
            response.headers = answerHeaders(progress);
            response.body = std::move(progress.whole);
            sent = co_await exchange.respond(std::move(response));
        }
        recordEnd(progress, sent);
    }

    void recordEnd(const Progress &progress, bool sent)
    {
        const Duration total = now() - progress.startedAt;
        metrics.observe("tamarack_request_seconds", tierLabel(progress), seconds(total));
        metrics.add("tamarack_outcomes_total", "outcome=\"ran\"");
        const Duration firstToken = progress.firstByteAt - progress.startedAt;
        const int gaps = std::max(1, progress.pieces - 1);
        const Duration gap = (total - firstToken) / gaps;
        const bool inTime =
            !progress.stream
            || (firstToken <= progress.firstTokenTarget && gap <= progress.betweenTokensTarget);
        if (sent && inTime)
            metrics.add("tamarack_goodput_total", tierLabel(progress));
    }

    asio::awaitable<void> fail(HttpExchange &exchange, ErrorKind kind, Progress &progress)
    {
        metrics.add("tamarack_outcomes_total",
                    fmt::format("outcome=\"{}\"", outcomeName(errorAnswer(kind).outcome)));
        metrics.add("tamarack_failures_total",
                    fmt::format("{},reason=\"{}\"", tierLabel(progress), errorAnswer(kind).name));
        if (kind == ErrorKind::CallerGone) {
            if (progress.submitted)
                ports.callerGone(progress.id);
            co_return;
        }
        logEvent(LogLevel::Info, "request_failed",
                 {{"request", toString(progress.id)}, {"reason", errorAnswer(kind).name}});
        const bool begun = progress.stream && progress.head;
        if (!begun) {
            HttpResponse response = errorResponse(kind, messageFor(kind), toString(progress.id));
            co_await exchange.respond(std::move(response));
            co_return;
        }
        // The answer has begun: say so in the stream and never end it as if it were whole.
        const std::string event =
            "data: " + errorBody(kind, messageFor(kind), toString(progress.id)) + "\n\n";
        co_await exchange.write(event);
        exchange.abort();
    }

    CallerPorts ports;
    Metrics &metrics;
    std::mutex mutex;
    std::vector<TokenSettings> tokens;
};

CallerApi::CallerApi(CallerPorts ports, Metrics &metrics)
    : m_private(std::make_unique<Private>(std::move(ports), metrics))
{}

CallerApi::~CallerApi() = default;

void CallerApi::setTokens(std::span<const TokenSettings> workspaces)
{
    const std::lock_guard lock(m_private->mutex);
    m_private->tokens.assign(workspaces.begin(), workspaces.end());
}

asio::awaitable<void> CallerApi::serve(HttpExchange &exchange)
{
    auto &p = *m_private;
    const HttpRequest &request = exchange.request();
    const std::string_view path = request.path();
    if (path == "/healthz")
        co_return co_await p.servePlain(exchange, 200, "ok\n", "text/plain");
    if (path == "/readyz") {
        const bool ready = p.ports.ready();
        const int status = ready ? 200 : 503;
        std::string body = ready ? "ok\n" : "not ready\n";
        co_return co_await p.servePlain(exchange, status, std::move(body), "text/plain");
    }
    if (path == "/metrics") {
        std::string text = co_await p.ports.metricsText();
        co_return co_await p.servePlain(exchange, 200, std::move(text),
                                        "text/plain; version=0.0.4");
    }
    const auto workspace = p.workspaceOf(request);
    if (!workspace) {
        Error error{ErrorKind::Unauthorized, "a valid bearer token is required"};
        co_return co_await p.refuse(exchange, std::move(error));
    }
    if (path == "/v1/models")
        co_return co_await p.serveModels(exchange);
    if (p.isSchedulable(request))
        co_return co_await p.serveSchedulable(exchange, *workspace);
    Error error{ErrorKind::NotFound, "no such path"};
    co_await p.refuse(exchange, std::move(error));
}

} // namespace tamarack
