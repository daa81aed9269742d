#pragma once

#include "base/AsioPch.h"
#include "http/HttpServer.h"

#include <absl/flags/parse.h>

#include <iostream>
#include <string>

namespace tamarack::standin {

/// Serves one stand-in on one thread until SIGTERM or SIGINT; returns the exit code.
inline int serve(boost::asio::io_context &context, const std::string &address, HttpHandler handler)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        std::cerr << "--listen must be IP:PORT\n";
        return 2;
    }
    boost::asio::io_context *contexts = &context;
    HttpLimits limits;
    limits.bodyBytes = 8 << 20;
    limits.readTimeoutMs = 600'000;
    auto server =
        HttpServer::makeServer({*endpoint, {}}, limits, {&contexts, 1}, std::move(handler));
    if (!server) {
        std::cerr << server.error().message << '\n';
        return 9;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
}

inline boost::asio::awaitable<void> sleepFor(Duration duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

inline HttpResponse plainResponse(int status, std::string body,
                                  std::string type = "application/json")
{
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back("Content-Type", std::move(type));
    response.body = std::move(body);
    return response;
}

} // namespace tamarack::standin
