#include "base/AsioPch.h"
#include "http/HttpClient.h"
#include "model/StandinServer.h"
#include "process/Contexts.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on");
ABSL_FLAG(std::string, target, "", "IP:PORT of the engine");
ABSL_FLAG(int, threads, 2, "threads that serve");

namespace {

namespace asio = boost::asio;
using namespace tamarack;

constexpr milliseconds connectTimeout{500};
constexpr milliseconds answerTimeout{60'000};

/// Passes each request on to one engine and its answer back: the least that one hop can cost.
asio::awaitable<void> relay(HttpExchange &exchange, Endpoint target)
{
    HttpRequest request = exchange.request();
    HttpStream stream(exchange.executor());
    const auto head =
        co_await stream.open(target, std::move(request), connectTimeout, answerTimeout);
    if (!head) {
        HttpResponse response = standin::plainResponse(502, "{}");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const auto type = findHeader(head->headers, "Content-Type").value_or("text/plain");
    HttpHeaders headers{{"Content-Type", std::string(type)}};
    bool open = co_await exchange.startStream(head->status, std::move(headers));
    while (open) {
        const auto piece = co_await stream.read(answerTimeout);
        if (!piece)
            co_return exchange.abort();
        if (!*piece)
            break;
        open = co_await exchange.write(**piece);
    }
    if (open)
        co_await exchange.finish();
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto listen = parseEndpoint(absl::GetFlag(FLAGS_listen));
    const auto target = parseEndpoint(absl::GetFlag(FLAGS_target));
    if (!listen || !target) {
        std::cerr << "--listen and --target must be IP:PORT\n";
        return 2;
    }
    Contexts contexts(static_cast<std::size_t>(absl::GetFlag(FLAGS_threads)));
    auto server = HttpServer::makeServer(
        {*listen, {}}, {}, contexts.traffic(),
        [target = *target](HttpExchange &exchange) { return relay(exchange, target); });
    if (!server) {
        std::cerr << server.error().message << '\n';
        return 9;
    }
    asio::signal_set signals(contexts.control(), SIGTERM, SIGINT);
    signals.async_wait([&contexts](boost::system::error_code, int) { contexts.stop(); });
    contexts.run();
    return 0;
}
