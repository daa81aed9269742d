#include "direct/UpstreamReport.h"

#include "base/AsioPch.h"
#include "direct/UpstreamConnection.h"
#include "platform/HeaderCodec.h"
#include "platform/UpstreamDecoder.h"

#include <string>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr milliseconds responseTimeout{400};
constexpr std::size_t maxReportBytes = 256 << 10;
constexpr int okStatus = 200;

} // namespace

asio::awaitable<UpstreamReport> readReport(asio::any_io_executor executor,
                                           std::shared_ptr<UpstreamConnection> connection,
                                           UpstreamRecord upstream)
{
    UpstreamReport report;
    bool late = false;
    asio::steady_timer timer(executor, responseTimeout);
    timer.async_wait([connection, &late](boost::system::error_code error) {
        if (error)
            return;
        late = true;
        connection->close();
    });
    connection->send(platform::encodeReportRequest(upstream));
    const auto head = co_await connection->readHead();
    std::string body;
    bool whole = false;
    while (head && !whole && body.size() < maxReportBytes) {
        const auto piece = co_await connection->readBody();
        if (!piece)
            break;
        whole = piece->empty();
        body.append(*piece);
    }
    timer.cancel();
    report.lost = !head && !late;
    report.misdirected = head && platform::decodeAnswer(head->status, head->headers).misdirected;
    if (whole && head->status == okStatus)
        report.startedAt = platform::decodeReportedStart(body);
    co_return report;
}

} // namespace tamarack
