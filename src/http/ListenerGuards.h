#pragma once

#include <functional>
#include <memory>
#include <string_view>

namespace tamarack {

class ConnectionBudget;

/// Whether the body of a request to this host and path is needed. Otherwise it is not read, the
/// handler gets an empty one, and the connection ends with the answer.
using BodyFilter = std::function<bool(std::string_view host, std::string_view path)>;

/// What protects a listener from its clients.
struct ListenerGuards
{
    /// Null: the connections of the listener are bounded by their number only.
    std::shared_ptr<ConnectionBudget> budget;
    /// Empty: every body is needed. Called on the executor of the connection.
    BodyFilter needsBody;
};

} // namespace tamarack
