#pragma once

#include "config/Settings.h"
#include "http/HttpClient.h"
#include "tamarackseam/Error.h"

#include <boost/asio/awaitable.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// One row of the platform's host list.
struct ListedHost
{
    std::string name;
    std::string role;
    Endpoint peer;
    bool leaving = false;

    bool operator==(const ListedHost &) const = default;
};

/// Reads the platform's host list, which may lag. Belongs to one executor.
class HostList
{
public:
    HostList(boost::asio::any_io_executor executor, Endpoint endpoint);

    boost::asio::awaitable<Result<std::vector<ListedHost>>> fetch();

private:
    HttpClient m_client;
    Endpoint m_endpoint;
};

/// Parses `{"hosts":[{"name","role","peer","state"}]}`.
Result<std::vector<ListedHost>> parseHostList(std::string_view text);

/// Whether the list shows the host as leaving. A host that is not listed is not leaving: the
/// list lags.
bool isLeaving(std::span<const ListedHost> hosts, std::string_view name);

} // namespace tamarack
