#include "store/HostList.h"

#include "base/AsioPch.h"

#include <algorithm>

namespace tamarack {

namespace json = boost::json;

namespace {

constexpr milliseconds fetchTimeout{1000};

} // namespace

HostList::HostList(boost::asio::any_io_executor executor, Endpoint endpoint)
    : m_client(std::move(executor))
    , m_endpoint(std::move(endpoint))
{}

boost::asio::awaitable<Result<std::vector<ListedHost>>> HostList::fetch()
{
    HttpRequest request{"GET", "/hosts", {}, ""};
    const auto reply = co_await m_client.call(m_endpoint, std::move(request), fetchTimeout);
    if (!reply)
        co_return tl::unexpected(reply.error());
    if (reply->status != 200)
        co_return failure(ErrorKind::IoFailed, "host list answered an error");
    co_return parseHostList(reply->body);
}

Result<std::vector<ListedHost>> parseHostList(std::string_view text)
{
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    if (error)
        return failure(ErrorKind::BadRequest, "host list is not JSON");
    std::vector<DocumentFault> faults;
    JsonObjectReader reader(document, "", faults);
    std::vector<ListedHost> hosts;
    if (const auto *items = reader.array("hosts")) {
        for (const auto &item : *items) {
            JsonObjectReader row(item, "hosts", faults);
            ListedHost host;
            host.name = row.requiredString("name");
            host.role = row.requiredString("role");
            host.peer = parseEndpoint(row.optionalString("peer", "")).value_or(Endpoint{});
            host.leaving = row.optionalString("state", "live") == "leaving";
            hosts.push_back(std::move(host));
        }
    }
    if (!faults.empty())
        return failure(ErrorKind::BadRequest, "host list: " + toString(faults));
    return hosts;
}

bool isLeaving(std::span<const ListedHost> hosts, std::string_view name)
{
    const auto found = std::ranges::find(hosts, name, &ListedHost::name);
    return found != hosts.end() && found->leaving;
}

} // namespace tamarack
