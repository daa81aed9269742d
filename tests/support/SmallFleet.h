#pragma once

#include "base/Time.h"
#include "model/LinkRelay.h"
#include "model/StoreServer.h"
#include "model/UpstreamServer.h"
#include "support/DirectEntry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

namespace tamarack::harness {

/// Direct entries of one data centre, each with a link of its own to the store, in front of the
/// upstreams of one service. Its routes are `/read/` (idempotent), `/write/` (not idempotent) and
/// `/stream/` (resumable).
class SmallFleet
{
public:
    SmallFleet(std::size_t entryCount, std::size_t upstreamCount,
               std::optional<RolloutBounds> rollouts = std::nullopt);
    ~SmallFleet();
    SmallFleet(const SmallFleet &) = delete;
    SmallFleet &operator=(const SmallFleet &) = delete;

    static std::string entryName(std::size_t number) { return "entry-" + std::to_string(number); }
    static std::string upstreamName(std::size_t number) { return "up-" + std::to_string(number); }
    std::size_t upstreams() const { return m_upstreams.size(); }
    standin::UpstreamServer &upstream(std::size_t number) { return *m_upstreams.at(number); }
    const DirectEntry &entry(std::size_t number) const { return *m_entries.at(number); }
    standin::StoreServer &store() { return m_store; }
    /// Context on which the fleet's stand-ins run.
    boost::asio::io_context &context() { return m_context; }

    /// Whether upstreams that are listed from now on report when they were started.
    bool reportsBorn = true;

    /// What the store lists about an upstream besides its address.
    struct Listed
    {
        std::string state = "ready";
        std::string version = "v1";
        int slots = 4;
        std::uint64_t born = 1;
        std::string service = "models";
    };
    /// Lists the upstream, or changes how it is listed.
    void list(std::size_t upstream, const Listed &listed);
    void listAt(const std::string &name, unsigned short port, const Listed &listed);
    void unlist(std::size_t upstream);
    /// Lists the upstream behind a link, which `setListening` closes.
    void listBehindLink(std::size_t upstream, const Listed &listed);
    /// Resets the connections to an upstream behind a link and refuses new ones, or accepts again.
    void setListening(std::size_t upstream, bool listening);
    /// Sends streams to the services `models` or `others`, in equal shares.
    void routeStreams(const std::vector<std::string> &services);
    /// Lists one more entry of another writer, whose content is `text`.
    void listOdd(const std::string &text);
    /// Lists the upstream `next` in place of `former`. Returns whether the entry sends requests to
    /// it soon.
    bool entryFollowsList(std::size_t entry, std::size_t former, std::size_t next);

    /// Makes the open connections of the entry to the store swallow bytes; new ones work.
    void silenceStoreConnections(std::size_t entry);
    /// Cuts the entry off from the store: connections, new ones too, get no answer.
    void cutFromStore(std::size_t entry);
    /// Starts one more entry and returns its number.
    std::size_t startEntry();
    void freezeEntry(std::size_t number, milliseconds duration)
    {
        m_entries.at(number)->freeze(duration);
    }
    void drainEntry(std::size_t number) { m_entries.at(number)->drain(); }
    /// Starts the entry again, which has been stopped.
    void restartEntry(std::size_t number);
    void stopEntry(std::size_t number) { m_entries.at(number)->stop(); }
    /// Sends a GET with the additional header lines to the entry and returns the whole response.
    std::string get(std::size_t entry, std::string_view path, std::string_view requestId,
                    std::string_view headers = "") const;

    /// Sends a GET and closes the connection as soon as the response contains `text`, or has ended.
    /// Returns what was received.
    std::string leaveAfter(std::size_t entry, std::string_view path, std::string_view requestId,
                           std::string_view text) const;

private:
    static std::string requestText(std::string_view path, std::string_view requestId,
                                   std::string_view headers);

    std::optional<RolloutBounds> m_rollouts;
    boost::asio::io_context m_context;
    standin::StoreServer m_store;
    std::vector<std::unique_ptr<standin::UpstreamServer>> m_upstreams;
    std::vector<std::unique_ptr<standin::LinkRelay>> m_links;
    std::map<std::size_t, std::unique_ptr<standin::LinkRelay>> m_upstreamLinks;
    std::vector<std::unique_ptr<DirectEntry>> m_entries;
    std::size_t m_oddEntries = 0;
    int m_configVersion = 1;
    std::jthread m_thread;
    /// Ends the server thread also when the constructor throws.
    struct ContextStopper
    {
        ~ContextStopper() { context.stop(); }
        boost::asio::io_context &context;
    };
    ContextStopper m_stopper{m_context};
};

} // namespace tamarack::harness
