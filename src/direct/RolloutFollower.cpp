#include "direct/RolloutFollower.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "fleet/IgnoredObjects.h"
#include "platform/RolloutDecoder.h"
#include "platform/StoreClient.h"
#include "process/Supervisor.h"
#include "process/Timers.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace asio = boost::asio;

namespace {

/// Maximum time the store holds a watch open; its response proves the orders current.
constexpr milliseconds idleWait{6000};
constexpr milliseconds activeWait{700};
/// How often an entry that does not watch checks whether it has been elected.
constexpr std::chrono::seconds dutyCheck{1};
/// Pause after a failed call, plus random jitter of up to the same length.
constexpr milliseconds shortestRetry{150};
/// Pause before orders that the store could not list are listed again.
constexpr std::chrono::seconds gapPause{5};
/// Orders of a store beyond this number are ignored.
constexpr std::size_t maxOrders = 256;

} // namespace

struct RolloutFollower::Private : std::enable_shared_from_this<RolloutFollower::Private>
{
    Private(const asio::any_io_executor &processExecutor, const Settings &settings,
            OrdersRead callback)
        : executor(processExecutor)
        , store(executor, settings.direct.store)
        , ordersRead(std::move(callback))
        , dutyTimer(executor)
    {}

    static asio::awaitable<void> pauseAfterFailure()
    {
        co_await pause(shortestRetry + randomDuration(shortestRetry));
    }

    /// Lists the orders; returns the position for a watch, none if the call failed.
    asio::awaitable<std::optional<StorePosition>> list()
    {
        const BootTime callStart = bootNow();
        std::vector<RolloutOrder> read;
        const platform::ObjectVisitor visit = [&](const platform::StoredObject &object) {
            auto order = platform::decodeRollout(object);
            const bool isDouble =
                order
                && std::ranges::find(read, order->service, &RolloutOrder::service) != read.end();
            if (order && !isDouble && read.size() < maxOrders)
                read.push_back(std::move(*order));
            else if (ignoredOrders.add(object.name, object.revision))
                logEvent(LogLevel::Warning, "rollout_ignored",
                         {{"name", object.name},
                          {"revision", object.revision},
                          {"reason", order ? "second order of its service"
                                           : std::string_view(order.error().message)}});
        };
        ignoredOrders.beginListing();
        const auto listing = co_await store.list(platform::rolloutKind(), visit);
        // An order that is missing from a part of the list may still be in force.
        if (!listing || !listing->isWhole()) {
            logEvent(LogLevel::Info, "rollouts_unread",
                     {{"reason", listing ? listing->gap : listing.error().message}});
            if (listing)
                co_await pause(gapPause);
            co_return std::nullopt;
        }
        ignoredOrders.endListing();
        publish(std::move(read), callStart);
        co_return listing->position;
    }

    void publish(std::vector<RolloutOrder> read, BootTime callStart)
    {
        // Of two calls that overlap, the one that began later is the newer.
        if (callStart < readAt)
            return;
        readAt = callStart;
        orders = std::move(read);
        ordersRead(orders, callStart);
    }

    asio::awaitable<void> loop()
    {
        while (true) {
            const auto position = co_await list();
            if (!position)
                co_await pauseAfterFailure();
            else
                co_await watch(*position);
        }
    }

    /// Returns when a listing is needed.
    asio::awaitable<void> watch(StorePosition from)
    {
        while (true) {
            const bool stoodBy = !elected;
            while (!elected) {
                dutyTimer.expires_after(dutyCheck);
                co_await dutyTimer.async_wait(asio::as_tuple(asio::use_awaitable));
            }
            if (stoodBy)
                co_return;
            const BootTime callStart = bootNow();
            const platform::EventVisitor ignoreEvent = [](const platform::StoreEvent &) {};
            const auto changes = co_await store.watch(platform::rolloutKind(), from,
                                                      active ? activeWait : idleWait, ignoreEvent);
            if (!changes) {
                if (changes.error().kind != ErrorKind::HistoryGone)
                    co_await pauseAfterFailure();
                co_return;
            }
            if (changes->events > 0)
                co_return;
            from = changes->position;
            publish(orders, callStart);
        }
    }

    asio::awaitable<void> readOnce()
    {
        const auto position = co_await list();
        if (!position)
            co_await pauseAfterFailure();
        reading = false;
    }

    asio::awaitable<void> write(RolloutStatusDue due)
    {
        const boost::json::value status = platform::encodeRolloutStatus(due.order, due.state);
        const auto written = co_await store.putStatus(platform::rolloutKind(), due.order.name,
                                                      due.order.revision, status);
        logEvent(written ? LogLevel::Info : LogLevel::Warning, "rollout_status_written",
                 {{"service", due.order.service},
                  {"to", due.order.to},
                  {"state", rolloutStateName(due.state)},
                  {"revision", due.order.revision},
                  {"outcome", written ? std::string_view("written")
                                      : std::string_view(written.error().message)}});
        // A call that failed may have taken effect, or another entry has written.
        const auto position = co_await list();
        if (!position)
            co_await pauseAfterFailure();
        writing = false;
    }

    asio::any_io_executor executor;
    platform::StoreClient store;
    OrdersRead ordersRead;
    asio::steady_timer dutyTimer;
    std::vector<RolloutOrder> orders;
    BootTime readAt{};
    /// Objects that describe no usable order.
    IgnoredObjects ignoredOrders;
    bool elected = true;
    bool active = false;
    bool reading = false;
    bool writing = false;
};

RolloutFollower::RolloutFollower(const asio::any_io_executor &executor, const Settings &settings,
                                 OrdersRead ordersRead)
    : m_private(std::make_shared<Private>(executor, settings, std::move(ordersRead)))
{}

RolloutFollower::~RolloutFollower() = default;

void RolloutFollower::start(Supervisor &supervisor)
{
    supervisor.start("rollouts", [self = m_private] { return self->loop(); });
}

void RolloutFollower::setDuty(bool elected, bool active)
{
    m_private->elected = elected;
    m_private->active = active;
    m_private->dutyTimer.cancel();
}

void RolloutFollower::read()
{
    const auto self = m_private;
    if (std::exchange(self->reading, true))
        return;
    asio::co_spawn(
        self->executor, [self] { return self->readOnce(); }, asio::detached);
}

void RolloutFollower::writeStatus(const RolloutStatusDue &due)
{
    const auto self = m_private;
    if (std::exchange(self->writing, true))
        return;
    asio::co_spawn(
        self->executor, [self, due] { return self->write(due); }, asio::detached);
}

std::uint64_t RolloutFollower::calls() const
{
    return m_private->store.calls();
}

} // namespace tamarack
