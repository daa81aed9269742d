#include "base/Hash.h"
#include "base/RequestId.h"
#include "model/StandinServer.h"

#include <absl/flags/flag.h>

#include <map>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on");
ABSL_FLAG(int, delay_ms, 5, "time that each call takes");
ABSL_FLAG(int, seed, 1, "seed of everything random");

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace tamarack;
using namespace tamarack::standin;

/// A plain service that records each call and echoes it.
class Service
{
public:
    explicit Service(std::uint64_t boot)
        : m_boot(boot)
    {}

    asio::awaitable<void> serve(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        HttpResponse response;
        if (request.path() == "/health") {
            response = plainResponse(200, json::serialize(json::object{{"boot", hex64(m_boot)}}));
        } else if (request.path() == "/log") {
            response = plainResponse(200, logText());
        } else if (request.path() == "/control") {
            control(request.body);
            response = plainResponse(200, "{}");
        } else {
            const std::string id(findHeader(request.headers, "X-Request-Id").value_or(""));
            m_calls.push_back({id, request.method, request.target, request.body});
            co_await sleepFor(m_delay);
            if (m_drop) {
                exchange.abort();
                co_return;
            }
            response = plainResponse(200, json::serialize(json::object{{"call", m_calls.size()},
                                                                       {"path", request.target},
                                                                       {"echo", request.body}}));
        }
        co_await exchange.respond(std::move(response));
    }

private:
    struct Call
    {
        std::string id;
        std::string method;
        std::string target;
        std::string body;
    };

    void control(const std::string &body)
    {
        boost::system::error_code error;
        const json::value document = json::parse(body, error);
        const auto *object = document.if_object();
        if (error || !object)
            return;
        if (const auto *delay = object->if_contains("delay_ms"))
            m_delay = milliseconds(delay->to_number<int>());
        if (const auto *drop = object->if_contains("drop"))
            m_drop = drop->as_bool();
    }

    std::string logText() const
    {
        json::array calls;
        for (const Call &call : m_calls)
            calls.emplace_back(json::object{{"id", call.id},
                                            {"method", call.method},
                                            {"path", call.target},
                                            {"body", call.body}});
        return json::serialize(json::object{{"calls", calls}});
    }

    std::uint64_t m_boot;
    milliseconds m_delay{absl::GetFlag(FLAGS_delay_ms)};
    bool m_drop = false;
    std::vector<Call> m_calls;
};

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context(1);
    Service service(randomBits64());
    return serve(context, absl::GetFlag(FLAGS_listen),
                 [&service](HttpExchange &exchange) { return service.serve(exchange); });
}
