#include "model/UpstreamServer.h"

#include "base/AsioPch.h"
#include "model/LoopbackListener.h"
#include "process/Timers.h"

namespace tamarack::standin {

namespace asio = boost::asio;

namespace {

constexpr milliseconds hangPollInterval{5};
constexpr int eventsBeforeBreak = 2;

std::string eventText(int id, const std::string &writer)
{
    const std::string number = std::to_string(id);
    return "id: " + number + "\ndata: piece-" + number + " of " + writer + "\n\n";
}

} // namespace

UpstreamServer::UpstreamServer(asio::io_context &context, unsigned short port, std::string id)
    : m_id(std::move(id))
    , m_server(listenOnLoopback(context, port,
                                [this](HttpExchange &exchange) { return serve(exchange); }))
{}

unsigned short UpstreamServer::port() const
{
    return m_server->port();
}

void UpstreamServer::closeIdleAfter(milliseconds idle)
{
    HttpLimits limits;
    limits.idleTimeoutMs = static_cast<int>(idle.count());
    m_server->setLimits(limits);
}

std::vector<HttpRequest> UpstreamServer::receivedRequests() const
{
    const std::lock_guard lock(m_mutex);
    return m_receivedRequests;
}

asio::awaitable<void> UpstreamServer::serve(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    if (request.path() == healthPath) {
        co_await respondHealth(exchange);
        co_return;
    }
    if (request.path() == reportPath) {
        co_await respondReport(exchange);
        co_return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_receivedRequests.push_back(request);
    }
    if (onArrival)
        onArrival(request);
    const UpstreamMode now = mode;
    const std::string requestId(findHeader(request.headers, "Request-Id").value_or(""));
    HttpResponse response{200, {{"Request-Id", requestId}}, "from " + m_id + " " + request.body};
    if (leaving)
        response.headers.emplace_back("Server-Leaving", "1");
    if (limitPerSecond >= 0)
        response.headers.emplace_back("Server-Limit", std::to_string(limitPerSecond));
    const bool expected = findHeader(request.headers, "Expect-Replica") == m_id;
    const double closedFor = closedForSeconds;
    if (!expected || now == UpstreamMode::NotExecuted || closedFor > 0) {
        response.status = expected ? 503 : 421;
        if (expected && closedFor > 0) {
            response.headers.emplace_back("Retry-After", std::to_string(closedFor));
            if (onRefused)
                onRefused(request, std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(closedFor)));
        }
        response.headers.emplace_back("Not-Executed", "1");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (onRun)
        onRun(request);
    if (now == UpstreamMode::Hangs) {
        exchange.onGone([this] { clientGone = true; });
        while (!clientGone)
            co_await pause(hangPollInterval);
        co_return;
    }
    if (now != UpstreamMode::Unsigned)
        response.headers.emplace_back("Server-Signature", "signed-by-" + m_id);
    if (resumptionStatus != 0 && findHeader(request.headers, "Last-Event-Id")) {
        response.status = resumptionStatus;
        response.headers.emplace_back("Content-Type", "text/plain");
        response.body = response.status == 204 ? "" : "error text\n\n";
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (request.target.find("stream") != std::string::npos) {
        co_await stream(exchange, std::move(response.headers));
        co_return;
    }
    response.body.append(answerBytes, 'x');
    co_await pause(milliseconds(workMs));
    if (now == UpstreamMode::AbortsConnection) {
        exchange.abort();
        co_return;
    }
    if (now == UpstreamMode::Fails)
        response.status = 500;
    if (now == UpstreamMode::WrongRequestId) {
        response.headers.front().second = "another";
        response.body = "from " + m_id + " to another";
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> UpstreamServer::respondHealth(HttpExchange &exchange)
{
    const bool hasHost = findHeader(exchange.request().headers, "Host").has_value();
    HttpResponse response{leaving ? 503 : 200, {{"Replica-Id", m_id}}, ""};
    // HTTP/1.1 requires the header.
    if (!hasHost)
        response.status = 400;
    if (leaving)
        response.headers.emplace_back("Server-Leaving", "1");
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> UpstreamServer::respondReport(HttpExchange &exchange)
{
    co_await pause(milliseconds(reportDelayMs));
    HttpResponse response{404, {}, ""};
    if (born > 0)
        response = {200,
                    {{"Content-Type", "application/json"}},
                    R"({"stage":"colocated","sequence":2,"born":)" + std::to_string(born) + "}"};
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> UpstreamServer::stream(HttpExchange &exchange, HttpHeaders headers)
{
    const auto after = findHeader(exchange.request().headers, "Last-Event-Id");
    std::string writer(findHeader(exchange.request().headers, "Request-Id").value_or(""));
    if (!softwareVersion.empty())
        writer += " at " + softwareVersion;
    headers.emplace_back("Content-Type", "text/event-stream");
    co_await exchange.startStream(200, std::move(headers));
    const int first = after ? std::stoi(std::string(*after)) + 1 : 1;
    if (const auto script = scriptedEvents ? scriptedEvents(first - 1) : std::nullopt) {
        for (const std::string &event : *script)
            co_await exchange.write(event);
        co_await exchange.finish();
        co_return;
    }
    for (int id = first; id <= streamEvents; ++id) {
        if (mode == UpstreamMode::AbortsConnection && id > eventsBeforeBreak) {
            co_await exchange.write(eventText(id, writer).substr(0, 9));
            exchange.abort();
            co_return;
        }
        if (mode == UpstreamMode::EndsMidEvent && id > eventsBeforeBreak) {
            co_await exchange.write(eventText(id, writer).substr(0, 9));
            break;
        }
        const std::string event = eventText(id, writer);
        co_await exchange.write(event);
        co_await pause(milliseconds(eventPauseMs));
    }
    co_await exchange.finish();
}

} // namespace tamarack::standin
