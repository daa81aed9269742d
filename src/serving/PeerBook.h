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

/// What the other entries said last, and which of them are heard.
///
/// Load: entries that die, freeze or are cut off from one another. The requests of a silent
/// entry stop counting after a while; its share of quotas does not, as it may serve on.
class PeerBook
{
public:
    explicit PeerBook(std::string ownName)
        : m_ownName(std::move(ownName))
    {}

    /// Names of the entries that the store lists.
    void setKnown(const std::set<std::string> &names);

    /// Takes a message; false when it is old, repeated or this entry's own.
    bool learn(const EntryLoad &load, TimePoint now);

    /// Load of the heard entries, summed by upstream.
    std::unordered_map<UpstreamKey, UpstreamLoad> loads(TimePoint now) const;
    std::vector<QueueDemand> demand(TimePoint now) const;
    /// What the others tell of upstreams, by upstream. Those that have fallen silent count on for
    /// the window of limits: what they sent may still arrive.
    std::unordered_map<UpstreamKey, std::vector<HeardTerms>> terms(TimePoint now) const;
    /// Heard entries, without this one.
    std::vector<FleetMember> heardMembers(TimePoint now) const;
    std::set<std::string> heardNames(TimePoint now) const;
    /// Heard entries, this one included.
    std::size_t heard(TimePoint now) const;
    /// Heard entries against all that may be serving.
    double heardShare(TimePoint now) const;

    /// Without a message for this long, an entry's requests count as ended.
    static constexpr milliseconds silenceBound{1000};

private:
    struct Peer
    {
        EntryLoad load;
        TimePoint heardAt{};
    };

    std::vector<const EntryLoad *> heardLoads(TimePoint now) const;

    std::string m_ownName;
    std::set<std::string> m_known;
    std::map<std::string, Peer> m_peers;
};

} // namespace tamarack
