#pragma once

#include "http/HttpMessage.h"
#include "tamarackseam/ErrorKind.h"

#include <string_view>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace tamarack {

HttpRequest toRequest(boost::beast::http::request<boost::beast::http::string_body> &&message);

/// Why a request was not read.
ErrorKind kindOfReadError(boost::beast::error_code error);

/// The answer to a request that was not read wholly, and so has not run.
HttpResponse refusal(ErrorKind kind, std::string_view reason);

} // namespace tamarack
