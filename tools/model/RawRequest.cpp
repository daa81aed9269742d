#include "model/RawRequest.h"

#include "base/AsioPch.h"

#include <utility>

namespace tamarack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string headerOf(const std::string &request, const std::string &name)
{
    const auto at = request.find(name + ": ");
    if (at == std::string::npos)
        return "";
    const auto begin = at + name.size() + 2;
    return request.substr(begin, request.find('\r', begin) - begin);
}

asio::awaitable<void> acceptEach(tcp::acceptor &acceptor,
                                 std::function<asio::awaitable<void>(tcp::socket)> serve)
{
    while (true) {
        auto [error, socket] = co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return;
        asio::co_spawn(acceptor.get_executor(), serve(std::move(socket)), asio::detached);
    }
}

} // namespace tamarack::standin
