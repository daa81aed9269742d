#pragma once

#include "direct/TrafficState.h"

#include <map>
#include <memory>
#include <string>

namespace tamarack {

/// Exchanges load reports with the other entries in datagrams. Sends when the load has changed, at
/// most once per send interval, and also at a slow periodic heartbeat. Also carries requests for
/// freshness proofs and their responses. Runs on the traffic thread.
class PeerExchange
{
public:
    /// Binds the peer address; fails if it is already in use.
    static Result<std::unique_ptr<PeerExchange>> makeExchange(TrafficState &state);

    ~PeerExchange();
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    /// Begins to receive and to send. Call it once all callbacks of the state are set, which the
    /// traffic thread uses from then on.
    void start();
    /// Sets the other entries, by name.
    void setPeers(const std::map<std::string, Endpoint> &peers);
    void loadChanged();

private:
    struct Private;
    explicit PeerExchange(std::shared_ptr<Private> p);
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
