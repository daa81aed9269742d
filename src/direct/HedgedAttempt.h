#pragma once

#include "direct/AttemptRace.h"
#include "direct/UpstreamAttempt.h"
#include "serving/HedgePolicy.h"
#include "serving/QueuedRequest.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace tamarack {

/// One attempt to serve a request, and a second one at another upstream if the first is slow
/// (`HedgePolicy`). The first response wins; the other attempt is cancelled, returns its place and
/// is not learned from.
class HedgedAttempt : public std::enable_shared_from_this<HedgedAttempt>
{
public:
    /// What a request must allow to be hedged.
    struct Terms
    {
        /// As it would be queued for a second upstream.
        QueuedRequest queued;
        /// Whether it may still be sent: it is not held back and its client waits.
        std::function<bool()> maySend;
        /// Keeps what the attempts refer to alive while one of them runs.
        std::weak_ptr<const void> owner;
    };

    HedgedAttempt(TrafficState &state, const Assignment &assignment, ResponseRelay &relay,
                  const AttemptRequest &request);
    ~HedgedAttempt();

    /// Runs the attempt to its end; without `terms` it is never hedged.
    boost::asio::awaitable<AttemptEnd> run(std::optional<Terms> terms);
    void cancel();

    /// The attempt that counts: the one that won, or else the first.
    UpstreamAttempt &attempt();
    const Assignment &assignment() const;
    /// Key of the second upstream, if the request was sent to one.
    std::optional<UpstreamKey> hedgedAt() const;
    bool hedgeWon() const;
    /// The upstream of the attempt that does not count, if it broke off by itself.
    UpstreamPtr otherBroken() const;

private:
    struct Lane;

    void armTimer();
    void startHedge();
    boost::asio::awaitable<void> runHedge();
    boost::asio::awaitable<AttemptEnd> settle(AttemptEnd end);
    std::optional<Assignment> assignHedge();
    void logHedge(std::string_view outcome, const HedgeLoad &load) const;
    void releasePlace(Lane &lane);

    TrafficState &m_state;
    ResponseRelay &m_relay;
    AttemptRequest m_request;
    std::optional<Terms> m_terms;
    AttemptRace m_race;
    std::unique_ptr<Lane> m_first;
    std::unique_ptr<Lane> m_second;
    /// Time to the first token at which the request counts as slow.
    Duration m_delay{};
    boost::asio::steady_timer m_timer;
    /// Cancelled when the second attempt has ended.
    boost::asio::steady_timer m_secondEnded;
    bool m_over = false;
};

} // namespace tamarack
