#pragma once

#include "base/Time.h"
#include "config/Settings.h"
#include "tamarackseam/Error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// Version of an object; versions of all objects come from one increasing counter.
using ObjectVersion = std::uint64_t;

struct StoredObject
{
    std::string value;
    ObjectVersion version = 0;
    /// Set in listings only.
    std::string key;
};

/// Client of the platform's object API. Every call may fail although it took effect; callers
/// settle that by reading the object again. Belongs to one executor.
class ObjectStore
{
public:
    ObjectStore(boost::asio::any_io_executor executor, Endpoint endpoint, Duration timeout);
    ~ObjectStore();
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore &operator=(const ObjectStore &) = delete;

    /// `NotFound` when absent. The answer is not older than version `notOlderThan`.
    boost::asio::awaitable<Result<StoredObject>> read(std::string key,
                                                      ObjectVersion notOlderThan = 0);

    /// Creates the object; `VersionConflict` when it exists.
    boost::asio::awaitable<Result<ObjectVersion>> create(std::string key, std::string value);

    /// Replaces the object if its version is still `version`; else `VersionConflict`.
    boost::asio::awaitable<Result<ObjectVersion>> update(std::string key, std::string value,
                                                         ObjectVersion version);

    /// Writes without a condition.
    boost::asio::awaitable<Result<ObjectVersion>> put(std::string key, std::string value);

    boost::asio::awaitable<Result<void>> remove(std::string key);

    /// Waits until the object is newer than `after`; `Timeout` when it stays as it is.
    boost::asio::awaitable<Result<StoredObject>> watch(std::string key, ObjectVersion after,
                                                       Duration wait);

    /// Objects whose key starts with `prefix` and is greater than `after`, in key order. The
    /// API may cut a long listing off.
    boost::asio::awaitable<Result<std::vector<StoredObject>>> list(std::string prefix,
                                                                   std::string after);

    std::uint64_t writes() const;
    std::uint64_t reads() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace tamarack
