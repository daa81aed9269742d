#pragma once

#include "serving/ProcessIdentity.h"
#include "serving/UpstreamRecord.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace tamarack {

class UpstreamConnection;

/// What the process at the other end of a connection reports on itself.
struct UpstreamReport
{
    /// The process has begun to respond.
    bool answered = false;
    /// The whole response was received.
    bool whole = false;
    /// The report took too long, and the connection was closed.
    bool late = false;
    /// It answered for another upstream.
    bool misdirected = false;
    /// Start of the process, in milliseconds of Unix time; none if it does not report it.
    std::optional<std::uint64_t> startedAt;
};

/// Asks the process for its report, for at most 400 ms.
boost::asio::awaitable<UpstreamReport> readReport(boost::asio::any_io_executor executor,
                                                  std::shared_ptr<UpstreamConnection> connection,
                                                  UpstreamRecord upstream);

ProcessIdentity identify(const UpstreamReport &report, const UpstreamRecord &listed);

} // namespace tamarack
