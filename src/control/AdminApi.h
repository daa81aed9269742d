#pragma once

#include "config/FleetConfig.h"
#include "config/Settings.h"
#include "sched/EntryCore.h"
#include "tamarackseam/Error.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <span>

namespace tamarack {

class HttpExchange;
class ObjectStore;

/// What the administration interface needs of the process. Used on the control context.
struct AdminPorts
{
    std::function<EntryCore &()> core;
    /// Null when no object API is set.
    std::function<ObjectStore *()> store;
    std::function<void(const FleetConfigPtr &)> applyConfig;
    std::function<bool(Fingerprint)> release;
    std::function<bool(std::string_view)> knowsUpstream;
};

/// The HTTP interface for operators.
class AdminApi
{
public:
    explicit AdminApi(AdminPorts ports);
    ~AdminApi();
    AdminApi(const AdminApi &) = delete;
    AdminApi &operator=(const AdminApi &) = delete;

    void setTokens(std::span<const TokenSettings> operators);
    boost::asio::awaitable<void> serve(HttpExchange &exchange);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace tamarack
