#pragma once

#include "direct/TrafficState.h"

#include <map>
#include <memory>
#include <string>

namespace tamarack {

/// Tells the other entries this entry's load by datagrams, and takes theirs. Sends when the load
/// has changed, not more often than its interval, and at a slow beat besides. Carries asks and
/// answers of proofs, too. Lives on the traffic thread.
class PeerExchange
{
public:
    /// Binds the address; fails when it is taken.
    static Result<std::unique_ptr<PeerExchange>> makeExchange(TrafficState &state);

    ~PeerExchange();
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    /// The other entries by name.
    void setPeers(const std::map<std::string, Endpoint> &peers);
    void loadChanged();

private:
    struct Private;
    explicit PeerExchange(std::shared_ptr<Private> p);
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
