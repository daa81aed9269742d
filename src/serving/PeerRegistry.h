#pragma once

#include "base/Time.h"
#include "fleet/FleetMember.h"
#include "serving/EntryLoad.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// The last report of each other entry, and which entries are currently reachable.
///
/// Entries may crash, freeze or be partitioned from one another. The requests of an unresponsive
/// entry stop counting after `reportTimeout`; its share of quotas does not, since it may still be
/// serving.
class PeerRegistry
{
public:
    explicit PeerRegistry(std::string ownName)
        : m_ownName(std::move(ownName))
    {}

    /// Sets the names of the entries that the store lists.
    void setKnown(const std::set<std::string> &names);

    /// Handles a report; returns false if it is outdated, a duplicate or this entry's own.
    bool handleReport(const EntryLoad &load, TimePoint now);

    /// Load of the reachable entries, summed by upstream.
    std::unordered_map<UpstreamKey, UpstreamLoad> loads(TimePoint now) const;
    std::vector<QueueDemand> demand(TimePoint now) const;
    /// Appointments of the reachable entries, with the time of receipt.
    std::vector<std::pair<ReturnSlots, TimePoint>> returns(TimePoint now) const;
    /// Terms reported by the other entries, by upstream. Reports of unresponsive entries remain
    /// valid for `UpstreamTerms::window`, since requests that they sent may still arrive.
    std::unordered_map<UpstreamKey, std::vector<ReceivedTerms>> terms(TimePoint now) const;
    /// Reachable entries, without this one.
    std::vector<FleetMember> reachableMembers(TimePoint now) const;
    std::set<std::string> reachableNames(TimePoint now) const;
    /// Number of reachable entries, including this one.
    std::size_t reachableCount(TimePoint now) const;
    /// Whether the store's list of the entries has been read.
    bool isListKnown() const { return !m_known.empty(); }
    /// Number of entries that may be serving, reachable or not, including this one.
    std::size_t servingCount(TimePoint now) const;
    /// Fraction of all possibly serving entries that is reachable.
    double reachableShare(TimePoint now) const;

    /// An entry without a report for this long is unresponsive; its requests count as ended.
    static constexpr milliseconds reportTimeout{1000};

private:
    struct Peer
    {
        EntryLoad load;
        TimePoint receivedAt{};
    };

    std::vector<const EntryLoad *> reachableLoads(TimePoint now) const;

    std::string m_ownName;
    std::set<std::string> m_known;
    std::map<std::string, Peer> m_peers;
};

} // namespace tamarack
