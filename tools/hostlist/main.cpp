#include "model/StandinServer.h"

#include <absl/flags/flag.h>

#include <deque>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on");
ABSL_FLAG(int, lag_ms, 1000, "time until a change shows");
ABSL_FLAG(int, seed, 1, "seed of everything random");

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace tamarack;
using namespace tamarack::standin;

/// Shows the last document put to it, after the lag.
class HostListApi
{
public:
    asio::awaitable<void> serve(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        HttpResponse response = plainResponse(404, "{}");
        if (request.path() == "/hosts" && request.method == "PUT") {
            m_documents.emplace_back(std::chrono::steady_clock::now(), request.body);
            response = plainResponse(200, "{}");
        } else if (request.path() == "/hosts") {
            response = plainResponse(200, shown());
        }
        co_await exchange.respond(std::move(response));
    }

private:
    std::string shown()
    {
        const auto asOf =
            std::chrono::steady_clock::now() - milliseconds(absl::GetFlag(FLAGS_lag_ms));
        while (m_documents.size() > 1 && m_documents[1].first <= asOf)
            m_documents.pop_front();
        const bool visible = !m_documents.empty() && m_documents.front().first <= asOf;
        return visible ? m_documents.front().second : R"({"hosts":[]})";
    }

    std::deque<std::pair<TimePoint, std::string>> m_documents;
};

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context(1);
    HostListApi api;
    return serve(context, absl::GetFlag(FLAGS_listen),
                 [&api](HttpExchange &exchange) { return api.serve(exchange); });
}
