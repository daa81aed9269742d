#include "store/ObjectStore.h"

#include "base/AsioPch.h"
#include "http/HttpClient.h"

#include <charconv>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr milliseconds watchMargin{1000};

ObjectVersion versionOf(const HttpResponse &response)
{
    const auto tag = findHeader(response.headers, "ETag");
    ObjectVersion version = 0;
    if (tag && tag->size() > 2)
        std::from_chars(tag->data() + 1, tag->data() + tag->size() - 1, version);
    return version;
}

std::string quotedVersion(ObjectVersion version)
{
    return "\"" + std::to_string(version) + "\"";
}

Error errorOfStatus(int status)
{
    switch (status) {
    case 304:
        return {ErrorKind::Timeout, "the object has not changed"};
    case 404:
        return {ErrorKind::NotFound, "no such object"};
    case 412:
        return {ErrorKind::VersionConflict, "the object has another version"};
    default:
        return {ErrorKind::StoreUnavailable, "object API answered " + std::to_string(status)};
    }
}

Result<std::vector<StoredObject>> parseListing(std::string_view text)
{
    boost::system::error_code error;
    const boost::json::value document = boost::json::parse(text, error);
    if (error)
        return failure(ErrorKind::StoreUnavailable, "listing is not JSON");
    std::vector<DocumentFault> faults;
    JsonObjectReader reader(document, "", faults);
    std::vector<StoredObject> objects;
    if (const auto *items = reader.array("objects")) {
        for (const auto &item : *items) {
            JsonObjectReader row(item, "objects", faults);
            StoredObject object;
            object.key = row.requiredString("key");
            object.value = row.optionalString("value", "");
            object.version = static_cast<ObjectVersion>(row.requiredInteger("version", {}));
            objects.push_back(std::move(object));
        }
    }
    if (!faults.empty())
        return failure(ErrorKind::StoreUnavailable, "listing: " + toString(faults));
    return objects;
}

} // namespace

struct ObjectStore::Private
{
    Private(const asio::any_io_executor &executor, Endpoint storeEndpoint, Duration callTimeout)
        : client(executor)
        , endpoint(std::move(storeEndpoint))
        , timeout(callTimeout)
    {}

    asio::awaitable<Result<HttpResponse>> call(HttpRequest request, Duration bound)
    {
        auto response = co_await client.call(endpoint, std::move(request), bound);
        if (!response)
            co_return failure(ErrorKind::StoreUnavailable, response.error().message);
        if (response->status >= 300)
            co_return tl::unexpected(errorOfStatus(response->status));
        co_return response;
    }

    asio::awaitable<Result<ObjectVersion>> write(std::string key, std::string value,
                                                 HttpHeaders headers)
    {
        ++writes;
        HttpRequest request{"PUT", "/objects/" + key, std::move(headers), std::move(value)};
        const auto response = co_await call(std::move(request), timeout);
        if (!response)
            co_return tl::unexpected(response.error());
        co_return versionOf(*response);
    }

    asio::awaitable<Result<StoredObject>> fetch(std::string target, Duration bound)
    {
        ++reads;
        HttpRequest request{"GET", std::move(target), {}, ""};
        auto response = co_await call(std::move(request), bound);
        if (!response)
            co_return tl::unexpected(response.error());
        StoredObject object{std::move(response->body), versionOf(*response), ""};
        co_return object;
    }

    HttpClient client;
    Endpoint endpoint;
    Duration timeout;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
};

ObjectStore::ObjectStore(asio::any_io_executor executor, Endpoint endpoint, Duration timeout)
    : m_private(std::make_unique<Private>(executor, std::move(endpoint), timeout))
{}

ObjectStore::~ObjectStore() = default;

asio::awaitable<Result<StoredObject>> ObjectStore::read(std::string key, ObjectVersion notOlderThan)
{
    std::string target = "/objects/" + key;
    if (notOlderThan > 0)
        target += "?min=" + std::to_string(notOlderThan);
    return m_private->fetch(std::move(target), m_private->timeout);
}

asio::awaitable<Result<ObjectVersion>> ObjectStore::create(std::string key, std::string value)
{
    HttpHeaders headers{{"If-None-Match", "*"}};
    return m_private->write(std::move(key), std::move(value), std::move(headers));
}

asio::awaitable<Result<ObjectVersion>> ObjectStore::update(std::string key, std::string value,
                                                           ObjectVersion version)
{
    HttpHeaders headers{{"If-Match", quotedVersion(version)}};
    return m_private->write(std::move(key), std::move(value), std::move(headers));
}

asio::awaitable<Result<ObjectVersion>> ObjectStore::put(std::string key, std::string value)
{
    return m_private->write(std::move(key), std::move(value), {});
}

asio::awaitable<Result<void>> ObjectStore::remove(std::string key)
{
    ++m_private->writes;
    HttpRequest request{"DELETE", "/objects/" + key, {}, ""};
    const auto response = co_await m_private->call(std::move(request), m_private->timeout);
    if (!response)
        co_return tl::unexpected(response.error());
    co_return Result<void>();
}

asio::awaitable<Result<StoredObject>> ObjectStore::watch(std::string key, ObjectVersion after,
                                                         Duration wait)
{
    std::string target = "/objects/" + key + "?watch=" + std::to_string(after)
                         + "&wait=" + std::to_string(toMs(wait));
    return m_private->fetch(std::move(target), wait + watchMargin);
}

asio::awaitable<Result<std::vector<StoredObject>>> ObjectStore::list(std::string prefix,
                                                                     std::string after)
{
    std::string target = "/objects?prefix=" + prefix + "&after=" + after;
    const auto response = co_await m_private->fetch(std::move(target), m_private->timeout);
    if (!response)
        co_return tl::unexpected(response.error());
    co_return parseListing(response->value);
}

std::uint64_t ObjectStore::writes() const
{
    return m_private->writes;
}

std::uint64_t ObjectStore::reads() const
{
    return m_private->reads;
}

} // namespace tamarack
