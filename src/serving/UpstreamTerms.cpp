#include "serving/UpstreamTerms.h"

#include <utility>

namespace tamarack {

bool UpstreamTerms::hear(const UpstreamStatement &statement)
{
    if (statement.malformed)
        return false;
    return std::exchange(m_limitPerSecond, statement.limitPerSecond) != statement.limitPerSecond;
}

} // namespace tamarack
