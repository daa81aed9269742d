#include "direct/OriginExchange.h"

#include "base/AsioPch.h"
#include "fleet/OriginKeepers.h"
#include "process/Timers.h"

#include <algorithm>

namespace tamarack {

namespace asio = boost::asio;

namespace {

/// Time for the keepers to respond. The second round covers lost datagrams, and asks more entries,
/// as the one that reported the origin may have chosen among others.
constexpr milliseconds roundTime{60};
constexpr std::size_t keepersOfSecondRound = 2 * keepersOfOrigin;

} // namespace

struct OriginExchange::Lookup
{
    explicit Lookup(const asio::any_io_executor &executor)
        : timer(executor)
    {}

    asio::steady_timer timer;
    std::optional<StreamOrigin> origin;
    /// Entries asked in this round that have not responded.
    std::size_t outstanding = 0;
};

OriginExchange::OriginExchange(const asio::any_io_executor &executor, Incarnation own)
    : m_executor(executor)
    , m_own(own)
{}

void OriginExchange::record(const StreamOrigin &origin, const std::set<std::string> &others,
                            TimePoint now)
{
    m_origins.record(origin, now);
    if (!onSend)
        return;
    for (const std::string &keeper : originKeepers(origin.stream, others, keepersOfOrigin))
        onSend(keeper, origin);
}

void OriginExchange::ask(Lookup &lookup, StreamKey stream, const std::set<std::string> &others,
                         std::size_t keepers)
{
    lookup.outstanding = 0;
    if (!onSend)
        return;
    for (const std::string &keeper : originKeepers(stream, others, keepers)) {
        ++lookup.outstanding;
        onSend(keeper, OriginRequest{m_own, stream});
    }
}

asio::awaitable<std::optional<StreamOrigin>> OriginExchange::find(StreamKey stream,
                                                                  std::set<std::string> others)
{
    if (const auto known = m_origins.find(stream, steadyNow()))
        co_return known;
    const auto lookup = std::make_shared<Lookup>(m_executor);
    const auto entry = m_lookups.emplace(stream, lookup);
    for (const std::size_t keepers : {keepersOfOrigin, keepersOfSecondRound}) {
        ask(*lookup, stream, others, keepers);
        if (lookup->outstanding == 0)
            break;
        lookup->timer.expires_after(roundTime);
        co_await lookup->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (lookup->origin)
            break;
    }
    m_lookups.erase(entry);
    co_return lookup->origin;
}

OriginResponse OriginExchange::makeResponse(const OriginRequest &request, TimePoint now) const
{
    return {request.requester, request.stream, m_origins.find(request.stream, now)};
}

void OriginExchange::handleResponse(const OriginResponse &response, TimePoint now)
{
    const auto [first, last] = m_lookups.equal_range(response.stream);
    if (response.requester != m_own || first == last)
        return;
    if (response.origin)
        m_origins.record(*response.origin, now);
    std::for_each(first, last, [&](const auto &item) {
        Lookup &lookup = *item.second;
        if (response.origin)
            lookup.origin = m_origins.find(response.stream, now);
        lookup.outstanding -= std::min<std::size_t>(lookup.outstanding, 1);
        if (lookup.origin || lookup.outstanding == 0)
            lookup.timer.cancel();
    });
}

} // namespace tamarack
