#include "store/ClaimStore.h"

#include "base/AsioPch.h"

namespace tamarack {

namespace asio = boost::asio;

namespace {

StoreStatus statusOf(const Error &error)
{
    const bool refused =
        error.kind == ErrorKind::VersionConflict || error.kind == ErrorKind::NotFound;
    return refused ? StoreStatus::Refused : StoreStatus::Unknown;
}

ClaimCallResult written(const Result<ObjectVersion> &result)
{
    ClaimCallResult answer;
    answer.status = result ? StoreStatus::Done : statusOf(result.error());
    answer.version = result.value_or(0);
    return answer;
}

struct Caller
{
    ObjectStore &store;

    asio::awaitable<ClaimCallResult> operator()(const claims::Create &call) const
    {
        co_return written(co_await store.create(call.key, call.value));
    }

    asio::awaitable<ClaimCallResult> operator()(const claims::Update &call) const
    {
        if (call.version == 0)
            co_return written(co_await store.create(call.key, call.value));
        co_return written(co_await store.update(call.key, call.value, call.version));
    }

    asio::awaitable<ClaimCallResult> operator()(const claims::Read &call) const
    {
        const auto object = co_await store.read(call.key, call.notOlderThan);
        ClaimCallResult answer;
        answer.status = object ? StoreStatus::Done : statusOf(object.error());
        if (object) {
            answer.value = object->value;
            answer.version = object->version;
        }
        co_return answer;
    }

    asio::awaitable<ClaimCallResult> operator()(const claims::List &call) const
    {
        const auto objects = co_await store.list(call.prefix, call.after);
        ClaimCallResult answer;
        if (!objects)
            co_return answer;
        answer.status = StoreStatus::Done;
        for (const StoredObject &object : *objects)
            answer.objects.push_back({object.key, object.value, object.version});
        co_return answer;
    }

    asio::awaitable<ClaimCallResult> operator()(const claims::Remove &call) const
    {
        const auto removed = co_await store.remove(call.key);
        ClaimCallResult answer;
        answer.status = removed ? StoreStatus::Done : statusOf(removed.error());
        co_return answer;
    }
};

} // namespace

asio::awaitable<ClaimCallResult> makeClaimCall(ObjectStore &store, ClaimCall call)
{
    co_return co_await std::visit(Caller{store}, call);
}

} // namespace tamarack
