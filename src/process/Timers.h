#pragma once

#include "base/Hash.h"
#include "base/Time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tamarack {

/// The present time of the monotonic clock.
inline TimePoint steadyNow()
{
    return std::chrono::steady_clock::now();
}

/// A random duration of whole milliseconds, shorter than `below`.
inline Duration randomDuration(milliseconds below)
{
    return milliseconds(static_cast<std::int64_t>(randomBits64() % below.count()));
}

/// Suspends the calling coroutine for `duration`.
inline boost::asio::awaitable<void> pause(Duration duration)
{
    namespace asio = boost::asio;
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace tamarack
