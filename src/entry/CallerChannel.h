#pragma once

#include "base/RequestId.h"
#include "tamarackseam/ErrorKind.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// The scheduler took the request under this id.
struct CallerSubmitted
{
    RequestId request;
};

struct CallerHead
{
    std::uint16_t status = 0;
    std::string contentType;
};

struct CallerBytes
{
    std::string bytes;
};

/// The answer is whole.
struct CallerFinish
{
};

struct CallerFail
{
    ErrorKind kind = ErrorKind::Internal;
};

using CallerEvent =
    std::variant<CallerSubmitted, CallerHead, CallerBytes, CallerFinish, CallerFail>;

/// Carries the events of one request from the control thread to its caller's traffic thread.
class CallerChannel
{
public:
    /// `executor` is where `next` is awaited.
    explicit CallerChannel(boost::asio::any_io_executor executor);
    ~CallerChannel();
    CallerChannel(const CallerChannel &) = delete;
    CallerChannel &operator=(const CallerChannel &) = delete;

    /// Any thread. Events arrive in the order of the calls.
    void push(std::vector<CallerEvent> events);

    boost::asio::awaitable<CallerEvent> next();

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
