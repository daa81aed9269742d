#include "AdminClient.h"

#include "base/AsioPch.h"
#include "http/HttpClient.h"

#include <algorithm>

namespace tamarack::ctl {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds callTimeout{15'000};

Error errorOf(const HttpResponse &response, const json::value &body)
{
    Error error{ErrorKind::Internal, "the entry answered " + std::to_string(response.status)};
    const auto *object = body.if_object();
    const auto *fault = object ? object->if_contains("error") : nullptr;
    if (!fault || !fault->is_object())
        return error;
    const std::string kind(fault->at("kind").as_string());
    const auto row = std::ranges::find(errorAnswers(), kind, &ErrorAnswer::name);
    if (row != errorAnswers().end())
        error.kind = row->kind;
    error.message = kind + ": " + std::string(fault->at("message").as_string());
    return error;
}

} // namespace

AdminClient::AdminClient(Endpoint entry, std::string token)
    : m_entry(std::move(entry))
    , m_token(std::move(token))
{}

Result<AdminReply> AdminClient::call(std::string method, std::string path, std::string body,
                                     std::string ifMatch)
{
    HttpRequest request{std::move(method), "/admin/v1/" + path, {}, std::move(body)};
    request.headers.emplace_back("Authorization", "Bearer " + m_token);
    if (!ifMatch.empty())
        request.headers.emplace_back("If-Match", std::move(ifMatch));
    asio::io_context context(1);
    HttpClient client(context.get_executor());
    Result<HttpResponse> response = failure(ErrorKind::Internal, "not called");
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            response = co_await client.call(m_entry, request, callTimeout);
        },
        asio::detached);
    context.run();
    if (!response)
        return tl::unexpected(response.error());
    boost::system::error_code error;
    json::value document = json::parse(response->body, error);
    if (response->status >= 300)
        return tl::unexpected(errorOf(*response, document));
    const auto tag = findHeader(response->headers, "ETag").value_or("");
    return AdminReply{std::move(document), response->body, std::string(tag)};
}

} // namespace tamarack::ctl
