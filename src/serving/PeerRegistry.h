#pragma once

#include "base/Time.h"
#include "fleet/FleetMember.h"
#include "fleet/GroupDigest.h"
#include "serving/EntryLoad.h"

#include <chrono>
#include <concepts>
#include <cstddef>
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
/// serving. Entries of other exchange groups report rarely; members of their groups tell by digests
/// that they are alive.
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

    /// Applies what a member of another exchange group tells about its group. Entries without a
    /// report are ignored. Returns how many rows were applied.
    std::size_t handleDigest(const GroupDigest &digest, TimePoint now);
    /// The entries among `members` whose own reports arrive, with the ages of these.
    template <std::predicate<const std::string &> IsMember>
    std::vector<HeardEntry> heard(IsMember isMember, TimePoint now) const
    {
        std::vector<HeardEntry> rows;
        for (const auto &[name, peer] : m_peers)
            if (isMember(name) && now - peer.receivedAt < reportTimeout)
                rows.push_back({peer.load.incarnation,
                                std::chrono::ceil<milliseconds>(now - peer.receivedAt)});
        return rows;
    }

    /// Load of the entries whose own reports arrive, summed by upstream.
    std::unordered_map<UpstreamKey, UpstreamLoad> loads(TimePoint now) const;
    std::vector<QueueDemand> demand(TimePoint now) const;
    /// Appointments of the reachable entries, with the time of receipt.
    std::vector<std::pair<ReturnSlots, TimePoint>> returns(TimePoint now) const;
    /// Terms reported by the other entries, by upstream. Reports of unresponsive entries remain
    /// valid for `UpstreamTerms::window`, since requests that they sent may still arrive.
    std::unordered_map<UpstreamKey, std::vector<ReceivedTerms>> terms(TimePoint now) const;
    /// Statements of upstreams in the last reports of the reachable entries, and when they were
    /// read.
    std::vector<std::pair<ReportedOccupancy, TimePoint>> occupancies(TimePoint now) const;
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
    /// An entry whose own last report is older than this is unresponsive whatever digests say:
    /// reports between it and this entry are lost.
    static constexpr milliseconds farReportTimeout{25'000};

private:
    struct Peer
    {
        EntryLoad load;
        TimePoint receivedAt{};
        /// When a member of its group last received a report of it, by the digests.
        TimePoint heardAt{};
    };

    static bool isReachable(const Peer &peer, TimePoint now);
    std::vector<const EntryLoad *> reachableLoads(TimePoint now) const;
    /// Those whose own reports arrive.
    std::vector<const EntryLoad *> currentLoads(TimePoint now) const;

    std::string m_ownName;
    std::set<std::string> m_known;
    std::map<std::string, Peer> m_peers;
    std::unordered_map<Incarnation, std::string> m_nameOf;
};

} // namespace tamarack
