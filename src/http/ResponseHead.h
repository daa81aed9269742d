#pragma once

#include "base/AsioPch.h"
#include "http/HttpMessage.h"

#include <optional>

namespace tamarack {

/// Reads heads of responses, each into a new parser that `prepare` sets up, until a final one.
/// Skips interim (1xx) responses. A status that HTTP does not define fails with `bad_status`: what
/// follows such a head is unknown.
template <typename Parser, typename Prepare>
boost::asio::awaitable<boost::beast::error_code>
readFinalHead(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
              std::optional<Parser> &parser, Prepare prepare)
{
    constexpr auto useTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    while (true) {
        parser.emplace();
        prepare(*parser);
        const auto [error, size] =
            co_await boost::beast::http::async_read_header(stream, buffer, *parser, useTuple);
        if (error)
            co_return error;
        const int status = static_cast<int>(parser->get().result_int());
        if (!isHttpStatus(status))
            co_return boost::beast::http::error::bad_status;
        if (!isInterimStatus(status))
            co_return boost::beast::error_code();
    }
}

} // namespace tamarack
