#include "direct/PeerExchange.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "peer/EntryMessageCodec.h"
#include "process/Timers.h"

#include <algorithm>
#include <array>

namespace tamarack {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

/// Minimum time between two messages to one peer. The actual interval grows with the number of
/// peers, which keeps an entry's sending cost constant.
constexpr milliseconds minSendInterval{10};
constexpr std::size_t peersPerInterval = 4;
/// Time between messages when nothing changes.
constexpr milliseconds heartbeatInterval{250};
constexpr std::size_t maxDatagramSize = 65'000;

} // namespace

struct PeerExchange::Private : std::enable_shared_from_this<PeerExchange::Private>
{
    explicit Private(TrafficState &trafficState)
        : state(trafficState)
        , socket(state.executor)
        , timer(state.executor)
    {}

    Result<void> open()
    {
        boost::system::error_code error;
        const Endpoint &own = state.settings.peer;
        const udp::endpoint address(asio::ip::make_address(own.address, error), own.port);
        if (!error)
            socket.open(address.protocol(), error);
        if (!error)
            socket.bind(address, error);
        if (error)
            return failure(ErrorKind::IoFailed,
                           "cannot bind " + toString(own) + ": " + error.message());
        socket.non_blocking(true, error);
        return {};
    }

    void receive()
    {
        socket.async_receive_from(
            asio::buffer(datagram), sender,
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error)
                    self->handleDatagram({self->datagram.data(), size});
                self->receive();
            });
    }

    void handleDatagram(std::string_view bytes)
    {
        const auto message = openMessage(bytes, state.settings.peerKey);
        if (message) {
            std::visit([this](const auto &content) { apply(content); }, *message);
            return;
        }
        state.metrics.add("tamarack_peer_rejected_total", "");
        logEvent(LogLevel::Warning, "peer_rejected",
                 {{"peer", sender.address().to_string()}, {"reason", message.error().message}});
    }

    void apply(const EntryLoad &load) { state.applyPeer(load); }
    void apply(const ProofResponse &response) { state.applyProof(response); }

    void apply(const StreamOrigin &origin) { state.origins.handleReport(origin, steadyNow()); }
    void apply(const OriginResponse &response)
    {
        state.origins.handleResponse(response, steadyNow());
    }

    void apply(const OriginRequest &request)
    {
        const OriginResponse response = state.origins.makeResponse(request, steadyNow());
        sendTo(sender, sealMessage(response, state.settings.peerKey));
    }

    void apply(const ProofRequest &request)
    {
        if (const auto response = state.makeProofResponse(request))
            sendTo(sender, sealMessage(*response, state.settings.peerKey));
    }

    void sendToEntry(const std::string &name, const EntryMessage &message)
    {
        const auto peer = peers.find(name);
        if (peer != peers.end())
            sendTo(peer->second, sealMessage(message, state.settings.peerKey));
    }

    Duration sendInterval() const
    {
        return minSendInterval * (1 + peers.size() / peersPerInterval);
    }

    void scheduleSend(TimePoint at)
    {
        if (scheduledAt <= at)
            return;
        scheduledAt = at;
        timer.expires_at(at);
        timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (error)
                return;
            self->scheduledAt = TimePoint::max();
            self->send();
        });
    }

    void send()
    {
        EntryLoad load = state.ownLoad();
        load.sequence = ++sequence;
        sentLoads = load.loads;
        sentDemand = load.demand;
        sentUpdateVersions = state.updateVersions();
        dropUnchangedQuotas(load);
        const std::string bytes = sealMessage(load, state.settings.peerKey);
        if (bytes.size() > maxDatagramSize)
            logEvent(LogLevel::Error, "peer_message_too_large", {{"bytes", bytes.size()}});
        else
            sendToAll(bytes);
        sentAt = steadyNow();
        scheduleSend(sentAt + heartbeatInterval);
    }

    /// Removes unchanged quotas from the report. Quotas make up most of a message, but only a few
    /// workspaces' quotas change between two messages. All quotas are sent once per heartbeat, for
    /// peers that missed a change.
    void dropUnchangedQuotas(EntryLoad &load)
    {
        std::vector<QuotaUse> all = load.quotas;
        const TimePoint now = steadyNow();
        if (now - allQuotasAt < heartbeatInterval)
            load.quotas = changedUses(sentQuotas, load.quotas);
        else
            allQuotasAt = now;
        sentQuotas = std::move(all);
    }

    /// If the socket buffer is full, the message is dropped; the next message supersedes it.
    void sendTo(const udp::endpoint &peer, std::string_view bytes)
    {
        boost::system::error_code error;
        socket.send_to(asio::buffer(bytes.data(), bytes.size()), peer, 0, error);
        if (error)
            state.metrics.add("tamarack_peer_send_failures_total", "");
    }

    void sendToAll(std::string_view bytes)
    {
        for (const auto &[name, peer] : peers)
            sendTo(peer, bytes);
        state.metrics.add("tamarack_peer_bytes_sent_total", "", bytes.size() * peers.size());
    }

    void loadChanged()
    {
        const TimePoint next = std::max(sentAt + sendInterval(), steadyNow());
        if (peers.empty() || scheduledAt <= next)
            return;
        const bool changed = state.upstreams.ownLoads() != sentLoads
                             || !sameNumbers(state.queue.demand(steadyNow()), sentDemand)
                             || state.updateVersions() != sentUpdateVersions;
        if (changed)
            scheduleSend(next);
    }

    TrafficState &state;
    udp::socket socket;
    asio::steady_timer timer;
    std::array<char, maxDatagramSize> datagram{};
    udp::endpoint sender;
    std::map<std::string, udp::endpoint> peers;
    std::uint64_t sequence = 0;
    std::vector<std::pair<UpstreamKey, UpstreamLoad>> sentLoads;
    std::vector<QueueDemand> sentDemand;
    TrafficState::UpdateVersions sentUpdateVersions;
    std::vector<QuotaUse> sentQuotas;
    TimePoint allQuotasAt{};
    TimePoint sentAt{};
    TimePoint scheduledAt = TimePoint::max();
};

PeerExchange::PeerExchange(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{}

PeerExchange::~PeerExchange() = default;

Result<std::unique_ptr<PeerExchange>> PeerExchange::makeExchange(TrafficState &state)
{
    auto p = std::make_shared<Private>(state);
    if (auto opened = p->open(); !opened)
        return tl::unexpected(opened.error());
    p->receive();
    p->scheduleSend(steadyNow() + heartbeatInterval);
    state.onProofRequest = [weak = std::weak_ptr(p)](const std::string &follower,
                                                     const ProofRequest &request) {
        if (const auto self = weak.lock())
            self->sendToEntry(follower, request);
    };
    state.origins.onSend = [weak = std::weak_ptr(p)](const std::string &keeper,
                                                     const EntryMessage &message) {
        if (const auto self = weak.lock())
            self->sendToEntry(keeper, message);
    };
    return std::unique_ptr<PeerExchange>(new PeerExchange(std::move(p)));
}

void PeerExchange::setPeers(const std::map<std::string, Endpoint> &peers)
{
    m_private->peers.clear();
    for (const auto &[name, peer] : peers) {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(peer.address, error);
        if (!error)
            m_private->peers.emplace(name, udp::endpoint(address, peer.port));
    }
}

void PeerExchange::loadChanged()
{
    m_private->loadChanged();
}

} // namespace tamarack
