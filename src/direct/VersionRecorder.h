#pragma once

#include "config/Settings.h"
#include "fleet/VersionRecord.h"
#include "serving/RouteMoves.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace tamarack {

/// Keeps the record of versions in the platform's store as `VersionHistory` decides. Runs on the
/// control thread.
class VersionRecorder
{
public:
    /// Called with what the record proves, whenever that changes.
    using VersionsProved = std::function<void(SoleVersions)>;

    /// The versions in the list of upstreams.
    struct Listed
    {
        std::set<ServiceVersion> versions;
        /// Versions that were listed since the last call, and may not be any more.
        std::set<ServiceVersion> formerVersions;
    };

    VersionRecorder(const boost::asio::any_io_executor &executor, const Settings &settings,
                    VersionsProved versionsProved);
    ~VersionRecorder();
    VersionRecorder(const VersionRecorder &) = delete;
    VersionRecorder &operator=(const VersionRecorder &) = delete;

    /// Has the versions recorded. A store that cannot do this soon does not delay a list, which may
    /// also name upstreams that are leaving: returns then, and tries again in the background.
    boost::asio::awaitable<void> record(Listed listed);
    /// Like `record`, but returns at once.
    void recordLater(Listed listed);
    /// The list is unchanged. `trims`: this entry removes from the record what has become obsolete.
    void confirmList(bool trims);
    /// Has the versions of the services that streams come from recorded for those that they go to.
    void recordMoves(const std::set<RouteMove> &moves);
    /// Changes of the list may have been missed, or the store has been restored.
    void readAgain();
    std::uint64_t calls() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
