#pragma once

#include "base/Hash.h"
#include "base/RequestId.h"
#include "base/Time.h"
#include "config/FleetConfig.h"
#include "tamarackseam/Error.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <concepts>
#include <functional>
#include <optional>
#include <string>

namespace tamarack {

/// What a configuration change needs of an object store client.
template <typename Store>
concept ConfigStore = requires(Store store, std::string text, std::uint64_t version) {
    store.read(text, version);
    store.create(text, text);
    store.update(text, text, version);
};

/// Makes changes of the configuration object as conditional updates. A change whose answer was
/// lost is settled by reading: each change leaves its identifier in the object.
template <ConfigStore Store>
class ConfigChanger
{
public:
    /// Returns the new text for the present one, or why the change is refused.
    using Edit = std::function<Result<std::string>(const std::string &text)>;

    explicit ConfigChanger(Store &store, milliseconds retryDelay = milliseconds(150))
        : m_store(store)
        , m_retryDelay(retryDelay)
    {}

    /// Applies `edit`. With `expected`, any other present version gives `VersionConflict`;
    /// without it a lost race is retried on the newer text. An empty text is the absent object.
    boost::asio::awaitable<Result<FleetConfigPtr>> change(Edit edit,
                                                          std::optional<Generation> expected)
    {
        const std::string changeId = hex64(randomBits64());
        Error last{ErrorKind::StoreUnavailable, "the object API does not answer"};
        for (int attempt = 0; attempt < highestAttempts; ++attempt) {
            if (attempt > 0)
                co_await delay();
            const auto present = co_await readPresent();
            if (!present) {
                last = present.error();
                continue;
            }
            if (present->config && carries(*present->config, changeId))
                co_return present->config;
            if (expected && present->generation != *expected)
                co_return failure(ErrorKind::VersionConflict,
                                  "the configuration has generation "
                                      + std::to_string(present->generation));
            const auto written = co_await write(edit, *present, changeId);
            if (written)
                co_return written;
            last = written.error();
            const bool retry = last.kind == ErrorKind::StoreUnavailable
                               || (last.kind == ErrorKind::VersionConflict);
            if (!retry)
                co_return written;
        }
        co_return tl::unexpected(last);
    }

private:
    struct Present
    {
        Generation generation = 0;
        std::string text;
        FleetConfigPtr config;
    };

    static constexpr int highestAttempts = 8;
    static constexpr const char *objectKey = "config";

    static bool carries(const FleetConfig &config, const std::string &changeId)
    {
        return std::ranges::find(config.changes, changeId) != config.changes.end();
    }

    boost::asio::awaitable<void> delay()
    {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, m_retryDelay);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    boost::asio::awaitable<Result<Present>> readPresent()
    {
        std::string key = objectKey;
        const auto object = co_await m_store.read(std::move(key), m_seen);
        if (!object && object.error().kind == ErrorKind::NotFound)
            co_return Present{};
        if (!object)
            co_return tl::unexpected(object.error());
        m_seen = std::max<std::uint64_t>(m_seen, object->version);
        const auto config = parseFleetConfig(object->value, object->version);
        Present present{object->version, object->value, config.value_or(nullptr)};
        co_return present;
    }

    boost::asio::awaitable<Result<FleetConfigPtr>> write(Edit &edit, const Present &present,
                                                         const std::string &changeId)
    {
        auto edited = edit(present.text);
        if (!edited)
            co_return tl::unexpected(edited.error());
        const auto checked = parseFleetConfig(*edited, present.generation);
        if (!checked)
            co_return failure(ErrorKind::InvalidConfig, toString(checked.error()));
        const std::string text = withChange(*edited, changeId);
        const Result<std::uint64_t> version = co_await put(text, present.generation);
        if (!version)
            co_return tl::unexpected(version.error());
        m_seen = std::max<std::uint64_t>(m_seen, *version);
        co_return *parseFleetConfig(text, *version);
    }

    boost::asio::awaitable<Result<std::uint64_t>> put(std::string text, Generation present)
    {
        std::string key = objectKey;
        if (present == 0)
            co_return co_await m_store.create(std::move(key), std::move(text));
        co_return co_await m_store.update(std::move(key), std::move(text), present);
    }

    Store &m_store;
    milliseconds m_retryDelay;
    std::uint64_t m_seen = 0;
};

} // namespace tamarack
