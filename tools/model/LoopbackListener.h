#pragma once

#include "http/HttpServer.h"

#include <memory>

namespace tamarack::standin {

/// Serves `handler` on 127.0.0.1; throws when the port is taken. Port 0 stands for any.
std::unique_ptr<HttpServer> listenOnLoopback(boost::asio::io_context &context, unsigned short port,
                                             HttpHandler handler);

/// A port below those that the system gives to outgoing connections, which could take it between
/// this call and its use.
unsigned short freePort();

} // namespace tamarack::standin
