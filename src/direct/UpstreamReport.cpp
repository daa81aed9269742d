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

struct Reading
{
    bool done = false;
    bool late = false;
};

} // namespace

asio::awaitable<UpstreamReport> readReport(asio::any_io_executor executor,
                                           std::shared_ptr<UpstreamConnection> connection,
                                           UpstreamRecord upstream)
{
    // The timer's handler may already be queued when the report arrives.
    const auto reading = std::make_shared<Reading>();
    asio::steady_timer timer(executor, responseTimeout);
    timer.async_wait([connection, reading](boost::system::error_code error) {
        if (error || reading->done)
            return;
        reading->late = true;
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
    reading->done = true;
    timer.cancel();
    UpstreamReport report;
    report.late = reading->late;
    report.answered = head.has_value();
    report.whole = whole;
    report.misdirected = head && platform::decodeAnswer(head->status, head->headers).misdirected;
    if (whole && head->status == okStatus)
        report.startedAt = platform::decodeReportedStart(body);
    co_return report;
}

ProcessIdentity identify(const UpstreamReport &report, const UpstreamRecord &listed)
{
    if (!report.answered)
        return report.late ? ProcessIdentity::Silent : ProcessIdentity::Lost;
    const bool isComparable = report.startedAt && listed.born != 0;
    if (report.misdirected || (isComparable && *report.startedAt != listed.born))
        return ProcessIdentity::Other;
    return isComparable ? ProcessIdentity::AsListed : ProcessIdentity::NotReported;
}

} // namespace tamarack
