#pragma once

#include "config/Settings.h"
#include "serving/FreshnessGuard.h"
#include "serving/RolloutControl.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace tamarack {

class Supervisor;

/// Reads the operator's roll-out orders from the platform's store and writes their status. Watches
/// the orders while this entry is elected to do so on behalf of others; any entry reads them when
/// asked to. Runs on the control thread.
class RolloutFollower
{
public:
    /// Called with all orders and the start of the call that showed them to be current.
    using OrdersRead = std::function<void(std::vector<RolloutOrder>, BootTime)>;

    RolloutFollower(const boost::asio::any_io_executor &executor, const Settings &settings,
                    OrdersRead ordersRead);
    ~RolloutFollower();
    RolloutFollower(const RolloutFollower &) = delete;
    RolloutFollower &operator=(const RolloutFollower &) = delete;

    void start(Supervisor &supervisor);
    /// `elected`: this entry watches the orders. `active`: one of them is in force, so that their
    /// currency has to be proved often.
    void setDuty(bool elected, bool active);
    /// Reads the orders, unless a call that does so is in progress.
    void read();
    /// Writes the status if the order is still as it was read, and reads the orders again. Does
    /// nothing while an earlier call is in progress.
    void writeStatus(const RolloutStatusDue &due);
    std::uint64_t calls() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
