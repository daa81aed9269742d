#pragma once

#include "config/Settings.h"
#include "fleet/UpstreamLog.h"
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
    /// The upstreams are known up to the delta's revision.
    std::function<void(const UpstreamDelta &, UpstreamSource)> upstreamsFollowed;
    /// Entries by name, this one included.
    std::function<void(std::map<std::string, Endpoint>)> entriesChanged;
};

/// Follows configuration, upstreams and entries in the platform's store, and registers this
/// entry there. While other entries follow configuration and upstreams for it (`StoreDuty`), it
/// calls the store only for changes that they tell of. Runs on the control thread.
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

    /// Whether this entry follows the store for others.
    void setElected(bool elected);
    /// A follower's proof says that the own configuration was the newest at this time.
    void learnProof(BootTime provedAt);
    /// What other entries know of; 0: nothing new.
    void notice(std::uint64_t configVersion, std::uint64_t upstreamRevision);
    /// What a follower says of upstreams.
    void applyRelayed(const UpstreamDelta &delta);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
