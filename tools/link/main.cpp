#include "base/AsioPch.h"
#include "model/LinkRelay.h"
#include "model/StandinServer.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on");
ABSL_FLAG(std::string, target, "", "IP:PORT behind the link");
ABSL_FLAG(std::string, control, "127.0.0.1:0", "IP:PORT of the control call");
ABSL_FLAG(int, seed, 1, "seed of everything random");

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using namespace tamarack;
using namespace tamarack::standin;

/// Control call: `{"silence": true}` makes the open connections swallow bytes, `{"cut": true}`
/// resets them.
asio::awaitable<void> control(LinkRelay &relay, HttpExchange &exchange)
{
    boost::system::error_code error;
    const json::value document = json::parse(exchange.request().body, error);
    const auto *object = document.if_object();
    if (!error && object && object->contains("silence"))
        relay.swallow();
    if (!error && object && object->contains("cut"))
        relay.cut();
    HttpResponse response = plainResponse(200, "{}");
    co_await exchange.respond(std::move(response));
}

tcp::endpoint toEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
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
    asio::io_context context(1);
    LinkRelay relay(context, toEndpoint(*listen), toEndpoint(*target));
    return serve(context, absl::GetFlag(FLAGS_control),
                 [&relay](HttpExchange &exchange) { return control(relay, exchange); });
}
