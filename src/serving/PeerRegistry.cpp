#include "serving/PeerRegistry.h"

#include <algorithm>

namespace tamarack {

void PeerRegistry::setKnown(const std::set<std::string> &names)
{
    m_known = names;
    std::erase_if(m_peers, [&](const auto &item) {
        return item.second.load.leaving && !names.contains(item.first);
    });
    std::erase_if(m_nameOf, [&](const auto &item) { return !m_peers.contains(item.second); });
}

bool PeerRegistry::handleReport(const EntryLoad &load, TimePoint now)
{
    if (load.name == m_ownName || load.name.empty())
        return false;
    Peer &peer = m_peers[load.name];
    const bool known = peer.load.incarnation == load.incarnation;
    if (known && load.sequence <= peer.load.sequence)
        return false;
    if (!known) {
        m_nameOf.erase(peer.load.incarnation);
        m_nameOf[load.incarnation] = load.name;
        peer.heardAt = {};
    }
    peer.load = load;
    peer.receivedAt = now;
    return true;
}

std::size_t PeerRegistry::handleDigest(const GroupDigest &digest, TimePoint now)
{
    std::size_t applied = 0;
    for (const HeardEntry &row : digest.heard) {
        const auto name = m_nameOf.find(row.incarnation);
        const auto peer = name == m_nameOf.end() ? m_peers.end() : m_peers.find(name->second);
        if (peer == m_peers.end())
            continue;
        peer->second.heardAt = std::max(peer->second.heardAt, now - row.age);
        ++applied;
    }
    return applied;
}

bool PeerRegistry::isReachable(const Peer &peer, TimePoint now)
{
    const Duration age = now - peer.receivedAt;
    return age < reportTimeout || (age < farReportTimeout && now - peer.heardAt < reportTimeout);
}

std::vector<const EntryLoad *> PeerRegistry::reachableLoads(TimePoint now) const
{
    std::vector<const EntryLoad *> loads;
    for (const auto &[name, peer] : m_peers)
        if (isReachable(peer, now))
            loads.push_back(&peer.load);
    return loads;
}

std::vector<const EntryLoad *> PeerRegistry::currentLoads(TimePoint now) const
{
    std::vector<const EntryLoad *> loads;
    for (const auto &[name, peer] : m_peers)
        if (now - peer.receivedAt < reportTimeout)
            loads.push_back(&peer.load);
    return loads;
}

std::unordered_map<UpstreamKey, UpstreamLoad> PeerRegistry::loads(TimePoint now) const
{
    std::unordered_map<UpstreamKey, UpstreamLoad> sums;
    for (const EntryLoad *load : currentLoads(now)) {
        for (const auto &[key, upstream] : load->loads) {
            UpstreamLoad &sum = sums[key];
            sum.inFlight += upstream.inFlight;
            sum.prefillTokens += upstream.prefillTokens;
        }
    }
    return sums;
}

std::vector<QueueDemand> PeerRegistry::demand(TimePoint now) const
{
    std::vector<QueueDemand> rows;
    for (const EntryLoad *load : currentLoads(now))
        std::ranges::copy(load->demand, std::back_inserter(rows));
    return rows;
}

std::vector<std::pair<ReturnSlots, TimePoint>> PeerRegistry::returns(TimePoint now) const
{
    std::vector<std::pair<ReturnSlots, TimePoint>> rows;
    for (const auto &[name, peer] : m_peers)
        if (now - peer.receivedAt < reportTimeout)
            for (const ReturnSlots &row : peer.load.returns)
                rows.emplace_back(row, peer.receivedAt);
    return rows;
}

std::unordered_map<UpstreamKey, std::vector<ReceivedTerms>> PeerRegistry::terms(TimePoint now) const
{
    std::unordered_map<UpstreamKey, std::vector<ReceivedTerms>> rows;
    for (const auto &[name, peer] : m_peers)
        if (now - peer.receivedAt < UpstreamTerms::window)
            for (const TermsReport &report : peer.load.terms)
                rows[report.upstream].push_back({report, peer.load.incarnation, peer.receivedAt});
    return rows;
}

std::vector<std::pair<ReportedOccupancy, TimePoint>> PeerRegistry::occupancies(TimePoint now) const
{
    std::vector<std::pair<ReportedOccupancy, TimePoint>> rows;
    for (const auto &[name, peer] : m_peers)
        if (now - peer.receivedAt < reportTimeout)
            for (const ReportedOccupancy &report : peer.load.occupancies)
                rows.emplace_back(report, peer.receivedAt - report.age);
    return rows;
}

std::vector<FleetMember> PeerRegistry::reachableMembers(TimePoint now) const
{
    std::vector<FleetMember> members;
    for (const EntryLoad *load : reachableLoads(now))
        members.push_back({load->name, load->dataCentre, load->leaving});
    return members;
}

std::set<std::string> PeerRegistry::reachableNames(TimePoint now) const
{
    std::set<std::string> names;
    for (const EntryLoad *load : reachableLoads(now))
        names.insert(load->name);
    return names;
}

std::size_t PeerRegistry::reachableCount(TimePoint now) const
{
    return reachableLoads(now).size() + 1;
}

std::size_t PeerRegistry::servingCount(TimePoint now) const
{
    std::set<std::string> all = m_known;
    all.insert(m_ownName);
    for (const EntryLoad *load : reachableLoads(now))
        all.insert(load->name);
    return all.size();
}

double PeerRegistry::reachableShare(TimePoint now) const
{
    return static_cast<double>(reachableCount(now)) / static_cast<double>(servingCount(now));
}

} // namespace tamarack
