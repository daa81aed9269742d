#pragma once

#include "http/HttpServer.h"
#include "model/PlatformStore.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace tamarack::standin {

/// How the store stand-in responds to calls.
enum class StoreMode { Normal, Unavailable, Busy, Unresponsive };

/// Serves the model of the platform's store over its published protocol and injects faults on
/// demand.
class StoreServer
{
public:
    /// Port 0 selects any free port.
    StoreServer(boost::asio::io_context &context, unsigned short port);

    unsigned short port() const;

    /// Calls `change` on the model under the lock that also guards calls.
    template <typename Change>
    void with(Change change)
    {
        const std::lock_guard lock(m_mutex);
        change(m_store);
    }

    /// From now on, `text` stands in responses wherever an object holds the string `placeholder`;
    /// the text need not be valid JSON.
    void substitute(const std::string &placeholder, std::string text);

    /// The next deletions of this object get no response and are not carried out.
    void holdDeletions(const std::string &kind, const std::string &name);
    /// Carries the held deletions out, if their condition still holds.
    void carryOutHeldDeletions();

    std::atomic<StoreMode> mode{StoreMode::Normal};
    std::atomic<int> calls{0};
    /// Those of `calls` that accept stale data; this store serves them the latest data all the
    /// same.
    std::atomic<int> staleCalls{0};
    /// Calls whose target is no valid URI, which are refused with 400.
    std::atomic<int> invalidTargets{0};
    /// Refuses names in targets that are not UTF-8; otherwise reads such bytes as U+FFFD.
    std::atomic<bool> refusesInvalidUtf8{false};

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    boost::asio::awaitable<void> watch(HttpExchange &exchange, std::string kind);
    PlatformStore::Answer handle(const HttpRequest &request);
    PlatformStore::Answer handleList(const HttpRequest &request, const std::string &kind) const;
    /// Whether the call is a deletion that is held.
    bool hold(const HttpRequest &request);
    HttpResponse encode(const PlatformStore::Answer &answer);

    std::mutex m_mutex;
    PlatformStore m_store{2};
    /// Texts by the quoted placeholders that they replace.
    std::map<std::string, std::string> m_substitutes;
    /// Path of the object whose deletions are held.
    std::string m_heldPath;
    std::vector<HttpRequest> m_heldDeletions;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace tamarack::standin
