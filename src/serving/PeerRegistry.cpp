#include "serving/PeerRegistry.h"

#include <algorithm>

namespace tamarack {

void PeerRegistry::setKnown(const std::set<std::string> &names)
{
    m_known = names;
    std::erase_if(m_peers, [&](const auto &item) {
        return item.second.load.leaving && !names.contains(item.first);
    });
}

bool PeerRegistry::handleReport(const EntryLoad &load, TimePoint now)
{
    if (load.name == m_ownName || load.name.empty())
        return false;
    Peer &peer = m_peers[load.name];
    const bool known = peer.load.incarnation == load.incarnation;
    if (known && load.sequence <= peer.load.sequence)
        return false;
    peer.load = load;
    peer.receivedAt = now;
    return true;
}

std::vector<const EntryLoad *> PeerRegistry::reachableLoads(TimePoint now) const
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
    for (const EntryLoad *load : reachableLoads(now)) {
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
    for (const EntryLoad *load : reachableLoads(now))
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
