#include "http/RequestReading.h"

#include "http/HeaderCopy.h"

#include <string>
#include <utility>

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/stream_traits.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/json.hpp>

namespace tamarack {

namespace beast = boost::beast;
namespace http = boost::beast::http;

HttpRequest toRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = toHeaders(message);
    request.body = std::move(message.body());
    return request;
}

ErrorKind kindOfReadError(beast::error_code error)
{
    if (error == http::error::body_limit)
        return ErrorKind::PayloadTooLarge;
    if (error == http::error::header_limit)
        return ErrorKind::HeadersTooLarge;
    if (error == beast::error::timeout)
        return ErrorKind::RequestTimeout;
    return ErrorKind::BadRequest;
}

HttpResponse refusal(ErrorKind kind, std::string_view reason)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    const boost::json::object fault{
        {"kind", answer.name}, {"message", reason}, {"request_id", ""}, {"outcome", "not-run"}};
    HttpResponse response{answer.httpStatus,
                          {{"Content-Type", "application/json"}, {"Tamarack-Outcome", "not-run"}},
                          boost::json::serialize(boost::json::object{{"error", fault}})};
    if (answer.retryAfterSeconds > 0)
        response.headers.emplace_back("Retry-After", std::to_string(answer.retryAfterSeconds));
    return response;
}

} // namespace tamarack
