#pragma once

#include "base/RequestId.h"
#include "config/FleetConfig.h"
#include "orders/LoadPermits.h"
#include "store/ObjectStore.h"
#include "upstream/UpstreamClient.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// Brings the models of one engine in line with the preset in force. Orders carry the
/// generation as fencing number; an engine that does not check it is only ordered after the
/// object API has confirmed that the generation is the newest.
class EngineOrders
{
public:
    struct Ports
    {
        std::function<FleetConfigPtr()> config;
        std::function<void(const FleetConfigPtr &)> applyConfig;
        std::function<std::vector<std::string>()> servedModels;
    };

    EngineOrders(LoadHolder self, bool checksFencing, Ports ports, ObjectStore &store,
                 UpstreamClient &client);

    /// Compares and, where needed, orders once.
    boost::asio::awaitable<void> reconcile();

private:
    std::vector<std::string> wantedModels(const FleetConfig &config) const;
    bool isSatisfied(const FleetConfig &config) const;
    boost::asio::awaitable<bool> confirmGeneration();
    boost::asio::awaitable<bool> acquire(std::size_t permits);
    boost::asio::awaitable<void> release();
    boost::asio::awaitable<bool> writeHolders(std::vector<LoadHolder> holders,
                                              ObjectVersion version);

    LoadHolder m_self;
    bool m_checksFencing;
    Ports m_ports;
    ObjectStore &m_store;
    UpstreamClient &m_client;
    LoadPermits m_permits;
    ObjectVersion m_seen = 0;
};

} // namespace tamarack
