#include "model/StoreServer.h"

#include "base/AsioPch.h"
#include "model/LoopbackListener.h"
#include "model/UriText.h"
#include "process/Timers.h"

namespace tamarack::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds watchPollInterval{5};

struct ObjectPath
{
    std::string kind;
    std::string name;
};

ObjectPath objectPath(const HttpRequest &request)
{
    constexpr std::string_view root = "/objects/";
    const std::string path(request.path().substr(root.size()));
    const auto slash = path.find('/');
    if (slash == std::string::npos)
        return {path, ""};
    return {path.substr(0, slash), decodePathPart(path.substr(slash + 1)).value_or("")};
}

std::uint64_t numberOf(std::optional<std::string_view> text)
{
    return text ? std::stoull(std::string(*text)) : 0;
}

} // namespace

StoreServer::StoreServer(asio::io_context &context, unsigned short port)
    : m_server(
        listenOnLoopback(context, port, [this](HttpExchange &exchange) { return serve(exchange); }))
{}

unsigned short StoreServer::port() const
{
    return m_server->port();
}

asio::awaitable<void> StoreServer::serve(HttpExchange &exchange)
{
    ++calls;
    if (exchange.request().query("serializable"))
        ++staleCalls;
    while (mode == StoreMode::Unresponsive)
        co_await pause(watchPollInterval);
    if (mode != StoreMode::Normal) {
        HttpResponse refusal{mode == StoreMode::Busy ? 429 : 503, {}, ""};
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    if (!isValidTarget(exchange.request().target)) {
        ++invalidTargets;
        HttpResponse refusal{400, {}, ""};
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    if (exchange.request().query("watch")) {
        std::string kind = objectPath(exchange.request()).kind;
        co_await watch(exchange, std::move(kind));
        co_return;
    }
    if (hold(exchange.request())) {
        exchange.abort();
        co_return;
    }
    const auto answer = handle(exchange.request());
    co_await exchange.respond(encode(answer));
}

asio::awaitable<void> StoreServer::watch(HttpExchange &exchange, std::string kind)
{
    const std::uint64_t revision = numberOf(exchange.request().query("watch"));
    const milliseconds wait(numberOf(exchange.request().query("waitMs")));
    const TimePoint end = steadyNow() + wait;
    std::optional<PlatformStore::Answer> answer;
    while (!answer && steadyNow() < end && mode == StoreMode::Normal) {
        with([&](auto &store) { answer = store.changes(kind, revision); });
        if (!answer)
            co_await pause(watchPollInterval);
    }
    // Check once more under the lock that also reads the revision for an empty response. Otherwise
    // the watcher would miss a change made after the last poll, as it continues from that revision.
    with([&](auto &store) {
        if (!answer && mode == StoreMode::Normal)
            answer = store.changes(kind, revision);
        if (!answer)
            answer = store.noChanges();
    });
    co_await exchange.respond(encode(*answer));
}

void StoreServer::substitute(const std::string &placeholder, std::string text)
{
    const std::lock_guard lock(m_mutex);
    m_substitutes[json::serialize(json::string(placeholder))] = std::move(text);
}

void StoreServer::holdDeletions(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    m_heldPath = "/objects/" + kind + "/" + name;
}

void StoreServer::carryOutHeldDeletions()
{
    std::vector<HttpRequest> held;
    with([&](const PlatformStore &) { held = std::exchange(m_heldDeletions, {}); });
    for (const HttpRequest &request : held)
        handle(request);
}

bool StoreServer::hold(const HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const bool isHeld = request.method == "DELETE" && request.path() == m_heldPath;
    if (isHeld)
        m_heldDeletions.push_back(request);
    return isHeld;
}

HttpResponse StoreServer::encode(const PlatformStore::Answer &answer)
{
    HttpResponse response{answer.status, {}, json::serialize(answer.body)};
    const std::lock_guard lock(m_mutex);
    response.headers.emplace_back("Store-Era", std::to_string(m_store.era()));
    for (const auto &[placeholder, text] : m_substitutes) {
        for (auto at = response.body.find(placeholder); at != std::string::npos;
             at = response.body.find(placeholder, at + text.size()))
            response.body.replace(at, placeholder.size(), text);
    }
    return response;
}

PlatformStore::Answer StoreServer::handleList(const HttpRequest &request,
                                              const std::string &kind) const
{
    const auto after = request.query("after");
    if (!after)
        return m_store.list(kind, std::nullopt);
    const std::string name = decodeQueryPart(*after).value_or("");
    const std::string valid = withReplacedBytes(name);
    if (refusesInvalidUtf8 && valid != name)
        return {400, json::object{{"error", "name is not UTF-8"}}};
    return m_store.list(kind, valid);
}

PlatformStore::Answer StoreServer::handle(const HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const ObjectPath path = objectPath(request);
    if (request.method == "GET" && path.name.empty())
        return handleList(request, path.kind);
    if (request.method == "GET")
        return m_store.get(path.kind, path.name);
    if (request.method == "DELETE")
        return m_store.remove(path.kind, path.name, numberOf(request.query("revision")));
    const json::object object = json::parse(request.body).as_object();
    const json::object &metadata = object.at("metadata").as_object();
    if (request.method == "POST")
        return m_store.create(path.kind, std::string(metadata.at("name").as_string()),
                              object.at("spec"));
    const auto *given = metadata.if_contains("revision");
    const std::uint64_t revision = given ? given->to_number<std::uint64_t>() : 0;
    constexpr std::string_view statusPath = "/status";
    if (path.name.ends_with(statusPath))
        return m_store.replaceStatus(path.kind,
                                     path.name.substr(0, path.name.size() - statusPath.size()),
                                     object.at("status"), revision);
    return m_store.replace(path.kind, path.name, object.at("spec"), revision);
}

} // namespace tamarack::standin
