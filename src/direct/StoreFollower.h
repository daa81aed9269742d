#pragma once

#include "base/StorePosition.h"
#include "config/Settings.h"
#include "fleet/OriginSaving.h"
#include "fleet/UpstreamLog.h"
#include "fleet/VersionRecord.h"
#include "serving/FreshnessGuard.h"
#include "serving/ServingConfig.h"
#include "serving/StreamOrigin.h"
#include "serving/UpstreamDirectory.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

class Supervisor;

/// Callbacks of the follower; called on its executor.
struct StoreListener
{
    std::function<void(ServingConfigPtr)> configChanged;
    /// The current configuration was the newest in the store at this time, the start of a call.
    std::function<void(BootTime)> configProved;
    std::function<void(std::vector<UpstreamRecord>)> upstreamsChanged;
    /// The changes up to the delta's position are known. The list is current as of that position,
    /// and was at the time given; none if the store did not list all upstreams.
    std::function<void(const UpstreamDelta &, UpstreamSource, std::optional<BootTime>)>
        upstreamsFollowed;
    /// Origins of streams that an entry wrote to the store, read once after the start; `own`: it
    /// was this entry, before it restarted.
    std::function<void(std::vector<StreamOrigin>, bool own)> originsRead;
    /// A call of `saveOrigins` has ended.
    std::function<void(bool succeeded)> originsSaved;
    /// What the store's record proves of the versions of streams.
    std::function<void(SoleVersions)> versionsProved;
    /// The store has been restored from an older copy.
    std::function<void()> storeRestored;
    /// A listing of this kind of objects ended; `outcome` is `whole`, `partial` or `failed`.
    std::function<void(std::string_view kind, std::string_view outcome)> listingEnded;
    /// All entries by name, including this one.
    std::function<void(std::map<std::string, Endpoint>)> entriesChanged;
};

/// Watches configuration, upstreams and entries in the platform's store and registers this entry
/// there. While elected followers watch configuration and upstreams on its behalf
/// (`StoreWatchPolicy`), it calls the store only when they report a change. Runs on the control
/// thread.
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

    /// Sets whether this entry is elected to watch the store on behalf of others.
    void setElected(bool elected);
    /// A follower's proof shows that this entry's configuration was the newest at this time.
    void applyProof(BootTime provedAt);
    /// The store answered a follower at this time.
    void recordRelayedAnswer(BootTime answeredAt);
    /// Replaces origins that this entry keeps in the store; `originsSaved` tells the outcome. Fails
    /// while the origins have not been read yet.
    void saveOrigins(const OriginSaving::Write &write);
    /// Latest versions that other entries have reported.
    void recordReportedVersions(std::uint64_t configVersion, StorePosition upstreams);
    /// Applies upstream changes received from a follower, which was asked at `requestedAt`.
    void applyRelayed(const UpstreamDelta &delta, BootTime requestedAt);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
