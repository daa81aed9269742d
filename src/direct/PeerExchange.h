#pragma once

#include "direct/TrafficState.h"

#include <memory>
#include <vector>

namespace tamarack {

/// Tells the other entries this entry's load by datagrams, and takes theirs. Sends when the load
/// has changed, not more often than its interval, and at a slow beat besides. Lives on the
/// traffic thread.
class PeerExchange
{
public:
    /// Binds the address; fails when it is taken.
    static Result<std::unique_ptr<PeerExchange>> makeExchange(TrafficState &state);

    ~PeerExchange();
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    void setPeers(std::vector<Endpoint> peers);
    void loadChanged();

private:
    struct Private;
    explicit PeerExchange(std::shared_ptr<Private> p);
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
