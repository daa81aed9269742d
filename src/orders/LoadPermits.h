#pragma once

#include "base/RequestId.h"
#include "base/Time.h"
#include "tamarackseam/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// An upstream process that is loading a model from the weight store.
struct LoadHolder
{
    std::string name;
    Incarnation incarnation = 0;

    bool operator==(const LoadHolder &) const = default;
};

/// Parses the stored permit object. An empty text stands for an absent object and yields no
/// holders.
Result<std::vector<LoadHolder>> parseLoadHolders(std::string_view text);
std::string encodeLoadHolders(const std::vector<LoadHolder> &holders);

/// Computes updates of the stored object that bounds the number of concurrent model loads. A holder
/// that has been listed for longer than `holdBound`, measured by the clock of this process, is
/// considered dead and removed.
class LoadPermits
{
public:
    explicit LoadPermits(LoadHolder self, Duration holdBound = std::chrono::seconds(120))
        : m_self(std::move(self))
        , m_holdBound(holdBound)
    {}

    /// Returns the holders with this process added, or nullopt if no permit is free. An older
    /// incarnation of this process is replaced by the current one.
    std::optional<std::vector<LoadHolder>> acquire(std::vector<LoadHolder> holders,
                                                   std::size_t permits, TimePoint now);

    /// Returns the holders without this process, or nullopt if this process holds no permit.
    std::optional<std::vector<LoadHolder>> release(std::vector<LoadHolder> holders) const;

private:
    struct ObservedHolder
    {
        LoadHolder holder;
        TimePoint since{};
    };

    void dropDead(std::vector<LoadHolder> &holders, TimePoint now);

    LoadHolder m_self;
    Duration m_holdBound;
    std::vector<ObservedHolder> m_observedHolders;
};

} // namespace tamarack
