#pragma once

#include "base/Time.h"
#include "serving/PartCrash.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace tamarack {

/// The times of the last complete responses by prompt part, for the parts seen most recently.
/// Bounded whatever ids clients make up: two generations of `generationSize`, of which the older
/// is dropped when the newer is full.
class RecentAnswers
{
public:
    void record(PromptPartId part, TimePoint at);
    std::optional<TimePoint> last(PromptPartId part) const;

    static constexpr std::size_t generationSize = 2048;

private:
    using Generation = std::unordered_map<PromptPartId, TimePoint>;

    Generation m_newer;
    Generation m_older;
};

} // namespace tamarack
