#include "soak/SoakClient.h"

#include "base/AsioPch.h"
#include "process/Timers.h"
#include "soak/StreamEvents.h"

#include <boost/beast/http.hpp>

namespace tamarack::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr int okStatus = 200;
constexpr milliseconds deadline{2000};
/// An answer is missed when it has not come so long after the deadline.
constexpr milliseconds missedAfter{1500};
constexpr milliseconds connectTimeout{1000};
constexpr std::size_t longestPauseMs = 60;
constexpr std::size_t longestStayMs = 80;
/// One call in so many is broken off by its client.
constexpr std::size_t callsPerLeaving = 12;
/// One call in so many goes to another entry on a new connection.
constexpr std::size_t callsPerMove = 8;

std::string_view pathOf(CallKind kind)
{
    switch (kind) {
    case CallKind::Read:
        return "/read/x";
    case CallKind::Book:
        return "/book/x";
    case CallKind::Stream:
        return "/stream/x";
    }
    return "/";
}

http::request<http::string_body> toRequest(const SentCall &call)
{
    http::request<http::string_body> request(http::verb::post, pathOf(call.kind), 11);
    request.set(http::field::host, "soak.example");
    request.set("Request-Id", call.id);
    request.set("Deadline-Ms", std::to_string(deadline.count()));
    request.set("Api-Key", call.key);
    if (!call.resumes.empty()) {
        request.set("Resumes", call.resumes);
        request.set("Last-Event-Id", std::to_string(call.resumeAfter));
    }
    request.body() = "body of " + (call.resumes.empty() ? call.id : call.resumes);
    request.prepare_payload();
    return request;
}

} // namespace

SoakClient::SoakClient(const ClientView &view, Promises &promises, std::string name,
                       std::uint64_t seed)
    : m_view(view)
    , m_promises(promises)
    , m_name(std::move(name))
    , m_random(seed)
{}

asio::awaitable<void> SoakClient::run()
{
    while (!m_view.over) {
        co_await pause(milliseconds(1 + below(longestPauseMs)));
        SentCall sent = drawCall();
        auto answer = co_await perform(sent);
        if (answer && sent.kind == CallKind::Stream)
            co_await resume(std::move(sent), std::move(*answer));
    }
}

asio::awaitable<std::optional<CallAnswer>> SoakClient::perform(SentCall &sent)
{
    const bool connected = co_await connect(sent.entry);
    if (!connected)
        co_return std::nullopt;
    sent.reusedConnection = m_reused;
    m_promises.sent(sent, steadyNow());
    m_openCall = sent.id;
    if (below(callsPerLeaving) == 0)
        leaveSoon(sent.id);
    CallAnswer answer = co_await call(sent);
    m_promises.answered(sent.id, answer, steadyNow());
    m_openCall.clear();
    co_return answer;
}

asio::awaitable<void> SoakClient::resume(SentCall broken, CallAnswer answer)
{
    constexpr int mostTries = 3;
    const std::string root = broken.id;
    int received = 0;
    for (int i = 0; i < mostTries && !m_view.over && !answer.whole; ++i) {
        if (answer.status == okStatus)
            received = readStreamEvents(answer.body, broken.id, broken.resumeAfter).last;
        if (received == 0)
            co_return;
        co_await pause(milliseconds(1 + below(longestPauseMs)));
        broken.id = m_name + "-" + std::to_string(++m_number);
        broken.resumes = root;
        broken.resumeAfter = received;
        broken.entry = below(m_view.entries.size());
        auto next = co_await perform(broken);
        answer = next ? std::move(*next) : CallAnswer{};
    }
}

asio::awaitable<int> SoakClient::probe(std::size_t entry)
{
    m_stream = nullptr;
    const bool connected = co_await connect(entry);
    if (!connected)
        co_return 0;
    SentCall sent;
    sent.id = m_name + "-" + std::to_string(++m_number);
    sent.entry = entry;
    sent.key = m_view.steadyKey;
    m_promises.sent(sent, steadyNow());
    const CallAnswer answer = co_await call(sent);
    m_promises.answered(sent.id, answer, steadyNow());
    co_return answer.whole ? answer.status : 0;
}

SentCall SoakClient::drawCall()
{
    constexpr std::array kinds{CallKind::Read, CallKind::Read, CallKind::Book, CallKind::Stream};
    const std::array keys{m_view.steadyKey, m_view.steadyKey, m_view.newestKey, m_view.formerKey};
    SentCall call;
    call.id = m_name + "-" + std::to_string(++m_number);
    call.kind = kinds.at(below(kinds.size()));
    call.key = keys.at(below(keys.size()));
    const bool moves = !m_stream || below(callsPerMove) == 0;
    call.entry = moves ? below(m_view.entries.size()) : m_connectedTo;
    return call;
}

asio::awaitable<bool> SoakClient::connect(std::size_t entry)
{
    m_reused = m_stream && m_connectedTo == entry;
    if (m_reused)
        co_return true;
    const auto executor = co_await asio::this_coro::executor;
    m_stream = std::make_shared<Stream>(executor);
    m_connectedTo = entry;
    m_stream->expires_after(connectTimeout);
    const auto [error] = co_await m_stream->async_connect(m_view.entries.at(entry), useTuple);
    if (error)
        m_stream = nullptr;
    co_return !error;
}

asio::awaitable<CallAnswer> SoakClient::call(const SentCall &call)
{
    const auto stream = m_stream;
    CallAnswer answer;
    const auto request = toRequest(call);
    stream->expires_after(deadline + missedAfter);
    // A failed write shows at the read, too.
    co_await http::async_write(*stream, request, useTuple);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    const auto [error, read] = co_await http::async_read(*stream, buffer, parser, useTuple);
    const auto &response = parser.get();
    answer.status = parser.is_header_done() ? response.result_int() : 0;
    answer.whole = !error;
    answer.timedOut = error == beast::error::timeout;
    answer.body = response.body();
    answer.outcome = std::string(response["Tamarack-Outcome"]);
    if (error || !response.keep_alive())
        m_stream = nullptr;
    co_return answer;
}

void SoakClient::leaveSoon(const std::string &id)
{
    asio::co_spawn(
        m_stream->get_executor(),
        [this, id, stream = m_stream,
         stay = milliseconds(below(longestStayMs))]() -> asio::awaitable<void> {
            co_await pause(stay);
            if (m_openCall != id)
                co_return;
            m_promises.left(id);
            stream->close();
        },
        asio::detached);
}

} // namespace tamarack::soak
