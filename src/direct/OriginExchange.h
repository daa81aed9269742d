#pragma once

#include "fleet/EntryMessage.h"
#include "serving/StreamOrigins.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace tamarack {

/// Records what began the streams of this entry, reports it to the entries that keep it
/// (`originKeepers`), and asks those for streams that began elsewhere. Used on the traffic thread.
class OriginExchange
{
public:
    OriginExchange(const boost::asio::any_io_executor &executor, Incarnation own);

    /// Records the origin of a stream that this entry serves. `others` are the reachable entries.
    void record(const StreamOrigin &origin, const std::set<std::string> &others, TimePoint now);
    /// Returns the origin as known here or to one of its keepers; none if none of them knows it or
    /// responds in time.
    boost::asio::awaitable<std::optional<StreamOrigin>> find(StreamKey stream,
                                                             std::set<std::string> others);

    /// Handles another entry's report.
    void handleReport(const StreamOrigin &origin, TimePoint now) { m_origins.record(origin, now); }
    OriginResponse makeResponse(const OriginRequest &request, TimePoint now) const;
    void handleResponse(const OriginResponse &response, TimePoint now);

    std::size_t size() const { return m_origins.size(); }
    /// Called to send a message to the entry with this name.
    std::function<void(const std::string &, const EntryMessage &)> onSend;

private:
    struct Lookup;

    void ask(Lookup &lookup, StreamKey stream, const std::set<std::string> &others,
             std::size_t keepers);

    boost::asio::any_io_executor m_executor;
    Incarnation m_own;
    StreamOrigins m_origins;
    std::multimap<StreamKey, std::shared_ptr<Lookup>> m_lookups;
};

} // namespace tamarack
