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

/// One upstream process that loads a model from the weight store.
struct LoadHolder
{
    std::string name;
    Incarnation incarnation = 0;

    bool operator==(const LoadHolder &) const = default;
};

/// Parses the permit object; an empty text is the absent object.
Result<std::vector<LoadHolder>> parseLoadHolders(std::string_view text);
std::string encodeLoadHolders(const std::vector<LoadHolder> &holders);

/// Decides on the object that bounds the loads in parallel. A holder that has not changed for a
/// long time by this process's own clock is taken for dead.
class LoadPermits
{
public:
    explicit LoadPermits(LoadHolder self, Duration holdBound = std::chrono::seconds(120))
        : m_self(std::move(self))
        , m_holdBound(holdBound)
    {}

    /// The holders with this process added; empty optional while no permit is free. An older
    /// incarnation of this process makes room for this one.
    std::optional<std::vector<LoadHolder>> acquire(std::vector<LoadHolder> holders,
                                                   std::size_t permits, TimePoint now);

    /// The holders without this process; empty optional when it holds none.
    std::optional<std::vector<LoadHolder>> release(std::vector<LoadHolder> holders) const;

private:
    struct Sighting
    {
        LoadHolder holder;
        TimePoint since{};
    };

    void dropDead(std::vector<LoadHolder> &holders, TimePoint now);

    LoadHolder m_self;
    Duration m_holdBound;
    std::vector<Sighting> m_sightings;
};

} // namespace tamarack
