#include "direct/PeerExchange.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "fleet/FarReports.h"
#include "peer/EntryMessageCodec.h"
#include "process/Timers.h"

#include <algorithm>
#include <array>
#include <utility>

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
/// Time between two rounds of digests.
constexpr milliseconds digestInterval{400};
/// Time between checks whether the other exchange groups need a report.
constexpr milliseconds farCheckInterval{100};
/// Reports with all quotas that an entry which is new in the list gets; the second in case the
/// first is lost.
constexpr int firstReports = 2;

} // namespace

struct PeerExchange::Private : std::enable_shared_from_this<PeerExchange::Private>
{
    explicit Private(TrafficState &trafficState)
        : state(trafficState)
        , socket(state.executor)
        , timer(state.executor)
        , farTimer(state.executor)
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

    void apply(const EntryLoad &load)
    {
        // A process that was restarted has none of the reports sent before.
        const bool isNew = heardIncarnations[load.name] != load.incarnation;
        if (isNew)
            addNew(load.name);
        if (all.contains(load.name))
            heardIncarnations[load.name] = load.incarnation;
        else
            heardIncarnations.erase(load.name);
        state.applyPeer(load);
    }
    void apply(const GroupDigest &digest) { state.applyDigest(digest); }
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
        const auto peer = all.find(name);
        if (peer != all.end())
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
    /// peers that missed a change; in a divided fleet, which has more workspaces, each change is
    /// sent twice and all quotas are sent rarely and to new members.
    void dropUnchangedQuotas(EntryLoad &load)
    {
        std::vector<QuotaUse> all = load.quotas;
        const TimePoint now = steadyNow();
        const bool divided = !farPeers.empty();
        const Duration interval = divided ? FarReports::fullInterval : heartbeatInterval;
        if (wholeReports > 0) {
            --wholeReports;
        } else if (now - allQuotasAt >= interval) {
            allQuotasAt = now;
            if (divided)
                load.quotas = usesNotAtRest(std::move(load.quotas));
        } else {
            load.quotas = changedUses(divided ? formerQuotas : sentQuotas, load.quotas);
        }
        load.quotas = nextQuotaRows(load.quotas, firstQuotaRow);
        formerQuotas = std::exchange(sentQuotas, std::move(all));
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

    void setPeers(const std::map<std::string, udp::endpoint> &listed)
    {
        const std::map<std::string, udp::endpoint> before = std::exchange(all, listed);
        const auto isUnlisted = [&](const auto &item) { return !listed.contains(item.first); };
        std::erase_if(newPeers, isUnlisted);
        std::erase_if(heardIncarnations, isUnlisted);
        const auto formerFar = std::exchange(farPeers, {});
        peers.clear();
        for (const auto &[name, peer] : all)
            (state.groups.isMember(name) ? peers : farPeers).emplace(name, peer);
        for (const auto &[name, peer] : all)
            if (!before.contains(name) || (formerFar.contains(name) && peers.contains(name)))
                addNew(name);
        if (!farPeers.empty() && !farScheduled)
            scheduleFar();
    }

    /// The entry knows nothing of what was sent before.
    void addNew(const std::string &name)
    {
        if (farPeers.contains(name))
            newPeers[name] = firstReports;
        else if (!farPeers.empty() && peers.contains(name))
            wholeReports = firstReports;
    }

    void scheduleFar()
    {
        farScheduled = true;
        farTimer.expires_after(farCheckInterval);
        farTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            self->farScheduled = false;
            if (error || self->farPeers.empty())
                return;
            self->sendFar();
            self->scheduleFar();
        });
    }

    void sendFar()
    {
        const TimePoint now = steadyNow();
        const FarReports::Urgent urgent = state.farState();
        const bool quotaDue = state.quotas.mustTell(state.groups.count());
        if (farReports.isDue(urgent, quotaDue, hadTerms, now))
            sendFarReport(urgent, quotaDue, now);
        if (!newPeers.empty() && now - firstReportsAt >= FarReports::leastInterval)
            sendFirstReports(now);
        if (now - digestAt >= digestInterval)
            sendDigest(now);
    }

    void sendFarReport(const FarReports::Urgent &urgent, bool quotaDue, TimePoint now)
    {
        EntryLoad load = state.ownLoad();
        load.sequence = ++sequence;
        hadTerms = !load.terms.empty() || !load.rollouts.empty();
        const EntryLoad reduced = farReports.makeReport(std::move(load), urgent, now);
        state.quotas.markTold();
        const std::string bytes = sealMessage(reduced, state.settings.peerKey);
        if (bytes.size() > maxDatagramSize) {
            logEvent(LogLevel::Error, "peer_message_too_large", {{"bytes", bytes.size()}});
            return;
        }
        for (const auto &[name, peer] : farPeers)
            if (!newPeers.contains(name))
                sendCounted(peer, bytes);
        state.metrics.add("tamarack_peer_far_reports_total",
                          quotaDue ? "reason=\"quota\"" : "reason=\"other\"");
    }

    /// Tells entries that are new in the list all quotas, from which later reports tell changes.
    void sendFirstReports(TimePoint now)
    {
        firstReportsAt = now;
        EntryLoad load = withoutGroupRows(state.ownLoad());
        load.sequence = ++sequence;
        load.quotas = nextQuotaRows(load.quotas, firstQuotaRow);
        const std::string bytes = sealMessage(load, state.settings.peerKey);
        for (auto &[name, left] : newPeers) {
            const auto peer = farPeers.find(name);
            if (peer != farPeers.end() && bytes.size() <= maxDatagramSize)
                sendCounted(peer->second, bytes);
            --left;
        }
        std::erase_if(newPeers, [](const auto &item) { return item.second <= 0; });
    }

    void sendDigest(TimePoint now)
    {
        digestAt = now;
        ++round;
        const std::string bytes = sealMessage(state.ownDigest(now), state.settings.peerKey);
        const ExchangeGroups &groups = state.groups;
        for (const auto &[name, peer] : farPeers)
            if (isTeller(groups.ownPosition(), groups.size(), name, round))
                sendCounted(peer, bytes);
    }

    void sendCounted(const udp::endpoint &peer, std::string_view bytes)
    {
        sendTo(peer, bytes);
        state.metrics.add("tamarack_peer_bytes_sent_total", "", bytes.size());
    }

    void loadChanged()
    {
        if (!farPeers.empty() && farReports.isDue(state.farState(), false, false, steadyNow()))
            sendFarReport(state.farState(), false, steadyNow());
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
    asio::steady_timer farTimer;
    std::map<std::string, udp::endpoint> all;
    /// Of this exchange group, and of the others.
    std::map<std::string, udp::endpoint> peers;
    std::map<std::string, udp::endpoint> farPeers;
    /// Reports with all quotas that each is still to get.
    std::map<std::string, int> newPeers;
    FarReports farReports;
    bool farScheduled = false;
    bool hadTerms = false;
    std::size_t round = 0;
    std::size_t firstQuotaRow = 0;
    TimePoint digestAt{};
    TimePoint firstReportsAt{};
    /// Last incarnation that each listed entry reported.
    std::map<std::string, Incarnation> heardIncarnations;
    std::uint64_t sequence = 0;
    std::vector<std::pair<UpstreamKey, UpstreamLoad>> sentLoads;
    std::vector<QueueDemand> sentDemand;
    TrafficState::UpdateVersions sentUpdateVersions;
    std::vector<QuotaUse> sentQuotas;
    /// Those sent before `sentQuotas`.
    std::vector<QuotaUse> formerQuotas;
    /// Further messages that carry all quotas, for new members of the group.
    int wholeReports = 0;
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

void PeerExchange::start()
{
    asio::post(m_private->state.executor, [p = m_private] {
        p->receive();
        p->scheduleSend(steadyNow() + heartbeatInterval);
    });
}

void PeerExchange::setPeers(const std::map<std::string, Endpoint> &peers)
{
    std::map<std::string, udp::endpoint> listed;
    for (const auto &[name, peer] : peers) {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(peer.address, error);
        if (!error)
            listed.emplace(name, udp::endpoint(address, peer.port));
    }
    m_private->setPeers(listed);
}

void PeerExchange::loadChanged()
{
    m_private->loadChanged();
}

} // namespace tamarack
