#include "control/AdminApi.h"

#include "control/IfMatch.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "base/Log.h"
#include "control/ConfigChanger.h"
#include "control/StatusReport.h"
#include "entry/CallerRequest.h"
#include "http/HttpServer.h"
#include "store/ObjectStore.h"

#include <algorithm>
#include <optional>

namespace tamarack {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view root = "/admin/v1/";

std::string entityTag(Generation generation)
{
    return "\"" + std::to_string(generation) + "\"";
}

/// The one string member of a small JSON body.
Result<std::string> stringField(const HttpRequest &request, std::string_view name)
{
    boost::system::error_code error;
    const json::value document = json::parse(request.body, error);
    if (error)
        return failure(ErrorKind::BadRequest, "the body must be JSON");
    std::vector<DocumentFault> faults;
    JsonObjectReader reader(document, "", faults);
    std::string value = reader.requiredString(name);
    reader.finish();
    if (!faults.empty())
        return failure(ErrorKind::BadRequest, toString(faults));
    return value;
}

HttpResponse jsonResponse(int status, const json::value &body)
{
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
}

HttpResponse errorOf(const Error &error)
{
    return errorResponse(error.kind, error.message, "");
}

} // namespace

struct AdminApi::Private
{
    explicit Private(AdminPorts adminPorts)
        : ports(std::move(adminPorts))
    {}

    Result<void> authorize(const HttpRequest &request) const
    {
        const auto header = findHeader(request.headers, "Authorization");
        if (!header || !header->starts_with(bearerPrefix))
            return failure(ErrorKind::Unauthorized, "an operator's bearer token is required");
        const std::string digest = sha256Hex(header->substr(bearerPrefix.size()));
        const auto found = std::ranges::find(tokens, digest, &TokenSettings::tokenSha256);
        if (found == tokens.end())
            return failure(ErrorKind::Unauthorized, "the token is not an operator's");
        if (request.method != "GET" && found->role != "admin")
            return failure(ErrorKind::Forbidden, "the operator may only look");
        return {};
    }

    asio::awaitable<HttpResponse> route(const HttpRequest &request)
    {
        const std::string_view path = request.path();
        const std::string_view rest =
            path.starts_with(root) ? path.substr(root.size()) : std::string_view();
        if (rest == "config" && request.method == "GET")
            co_return co_await readConfig();
        if (rest == "config" && request.method == "PUT")
            co_return co_await putConfig(request);
        if (rest == "preset" && request.method == "POST")
            co_return co_await usePreset(request);
        if (rest.starts_with("upstreams/") && rest.ends_with("/mark") && request.method == "POST")
            co_return co_await markUpstream(request, rest);
        if (rest == "status" && request.method == "GET")
            co_return jsonResponse(200, statusReport(ports.core()));
        if (rest == "quarantine" && request.method == "GET")
            co_return jsonResponse(200, quarantineReport(ports.core().quarantine()));
        if (rest.starts_with("quarantine/") && request.method == "DELETE")
            co_return release(rest.substr(std::string_view("quarantine/").size()));
        Error error{ErrorKind::NotFound, "no such path or method"};
        co_return errorOf(error);
    }

    asio::awaitable<HttpResponse> readConfig()
    {
        HttpResponse response;
        response.status = 200;
        const FleetConfigPtr &config = ports.core().config();
        if (ObjectStore *store = ports.store()) {
            std::string key = "config";
            const Generation atLeast = config ? config->generation : 0;
            const auto object = co_await store->read(std::move(key), atLeast);
            if (object) {
                response.headers = {{"Content-Type", "application/json"},
                                    {"ETag", entityTag(object->version)}};
                response.body = object->value;
                co_return response;
            }
        }
        if (!config) {
            Error error{ErrorKind::NotFound, "there is no configuration yet"};
            co_return errorOf(error);
        }
        response.headers = {{"Content-Type", "application/json"},
                            {"ETag", entityTag(config->generation)}};
        response.body = config->text;
        co_return response;
    }

    using Edit = ConfigChanger<ObjectStore>::Edit;

    asio::awaitable<HttpResponse> change(Edit edit, std::optional<Generation> expected,
                                         std::string what)
    {
        ObjectStore *store = ports.store();
        if (!store) {
            Error error{ErrorKind::StoreUnavailable, "no object API is set"};
            co_return errorOf(error);
        }
        ConfigChanger<ObjectStore> changer(*store);
        const auto config = co_await changer.change(std::move(edit), expected);
        if (!config) {
            logEvent(LogLevel::Warning, "config_refused",
                     {{"change", what}, {"reason", config.error().message}});
            co_return errorOf(config.error());
        }
        logEvent(LogLevel::Info, "config_accepted",
                 {{"change", what}, {"generation", (*config)->generation}});
        ports.applyConfig(*config);
        const json::object body{{"generation", (*config)->generation}};
        HttpResponse response = jsonResponse(200, body);
        response.headers.emplace_back("ETag", entityTag((*config)->generation));
        co_return response;
    }

    asio::awaitable<HttpResponse> putConfig(const HttpRequest &request)
    {
        const auto expected = parseIfMatch(request);
        if (!expected)
            co_return errorOf(expected.error());
        if (!*expected) {
            Error error{ErrorKind::BadRequest,
                        "If-Match with the generation that was read is required (0 if none)"};
            co_return errorOf(error);
        }
        const auto checked = parseFleetConfig(request.body, 0);
        if (!checked) {
            Error error{ErrorKind::InvalidConfig, toString(checked.error())};
            co_return errorOf(error);
        }
        // The list of changes belongs to the system; an operator's copy of it may be old.
        Edit edit = [body = request.body](const std::string &present) -> Result<std::string> {
            return withChangesOf(body, present);
        };
        co_return co_await change(std::move(edit), *expected, "put");
    }

    asio::awaitable<HttpResponse> usePreset(const HttpRequest &request)
    {
        const auto name = stringField(request, "name");
        const auto expected = parseIfMatch(request);
        if (!name || !expected)
            co_return errorOf(name ? expected.error() : name.error());
        Edit edit = [name = *name](const std::string &text) -> Result<std::string> {
            const auto config = parseFleetConfig(text, 0);
            if (!config || !(*config)->presets.contains(name))
                return failure(ErrorKind::NotFound, "no such preset: " + name);
            return withPreset(text, name);
        };
        co_return co_await change(std::move(edit), *expected, "preset " + *name);
    }

    asio::awaitable<HttpResponse> markUpstream(const HttpRequest &request, std::string_view rest)
    {
        std::string name(rest.substr(std::string_view("upstreams/").size()));
        name.resize(name.size() - std::string_view("/mark").size());
        const auto text = stringField(request, "mark");
        const auto expected = parseIfMatch(request);
        if (!text || !expected)
            co_return errorOf(text ? expected.error() : text.error());
        if (*text != "none" && *text != "stop" && *text != "leave") {
            Error error{ErrorKind::BadRequest, "mark: must be one of none, stop, leave"};
            co_return errorOf(error);
        }
        if (!ports.knowsUpstream(name)) {
            Error error{ErrorKind::NotFound, "no such upstream: " + name};
            co_return errorOf(error);
        }
        const Mark mark = *text == "stop"    ? Mark::Stop
                          : *text == "leave" ? Mark::Leave
                                             : Mark::None;
        Edit edit = [name, mark](const std::string &present) -> Result<std::string> {
            if (present.empty())
                return failure(ErrorKind::NotFound, "there is no configuration yet");
            return withMark(present, name, mark);
        };
        co_return co_await change(std::move(edit), *expected, "mark " + name + " " + *text);
    }

    HttpResponse release(std::string_view text)
    {
        const auto fingerprint = parseHex64(text);
        if (!fingerprint || !ports.release(*fingerprint))
            return errorOf({ErrorKind::NotFound, "no such fingerprint under suspicion"});
        logEvent(LogLevel::Info, "quarantine_released", {{"fingerprint", text}});
        return jsonResponse(200, json::object{{"released", text}});
    }

    AdminPorts ports;
    std::vector<TokenSettings> tokens;
};

AdminApi::AdminApi(AdminPorts ports)
    : m_private(std::make_unique<Private>(std::move(ports)))
{}

AdminApi::~AdminApi() = default;

void AdminApi::setTokens(std::span<const TokenSettings> operators)
{
    m_private->tokens.assign(operators.begin(), operators.end());
}

asio::awaitable<void> AdminApi::serve(HttpExchange &exchange)
{
    const auto allowed = m_private->authorize(exchange.request());
    HttpResponse response;
    if (allowed)
        response = co_await m_private->route(exchange.request());
    else
        response = errorOf(allowed.error());
    co_await exchange.respond(std::move(response));
}

} // namespace tamarack
