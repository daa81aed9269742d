#pragma once

#include "config/Settings.h"
#include "serving/FreshnessGuard.h"
#include "serving/ServingConfig.h"
#include "serving/UpstreamDirectory.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {

class Supervisor;

/// What the follower tells; called on its executor.
struct StoreListener
{
    std::function<void(ServingConfigPtr)> configChanged;
    /// The newest configuration was in force when the store was called at this time.
    std::function<void(BootTime)> configProved;
    std::function<void(std::vector<UpstreamRecord>)> upstreamsChanged;
    /// Entries by name, this one included.
    std::function<void(std::map<std::string, Endpoint>)> entriesChanged;
};

/// Follows configuration, upstreams and entries in the platform's store, and registers this
/// entry there. Runs on the control thread.
class StoreFollower
{
public:
    StoreFollower(const boost::asio::any_io_executor &executor, const Settings &settings,
                  StoreListener listener);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    void start(Supervisor &supervisor);
    /// Removes this entry's registration.
    boost::asio::awaitable<void> leave();
    std::uint64_t calls() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
