#include "serving/RolloutOrder.h"

namespace tamarack {

std::string_view rolloutStateName(RolloutState state)
{
    switch (state) {
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        return "rolled back";
    case RolloutState::Running:
        return "running";
    case RolloutState::Ordered:
        break;
    }
    return "ordered";
}

} // namespace tamarack
