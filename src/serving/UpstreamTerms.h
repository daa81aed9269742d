#pragma once

#include "base/Time.h"
#include "serving/UpstreamStatement.h"

#include <optional>

namespace tamarack {

/// On what terms one upstream takes requests, as it says in its answers.
class UpstreamTerms
{
public:
    /// Takes what an answer says; true when it is news.
    bool hear(const UpstreamStatement &statement);

    /// Requests a second from all entries together; none without a limit.
    std::optional<double> limitPerSecond() const { return m_limitPerSecond; }

private:
    std::optional<double> m_limitPerSecond;
};

} // namespace tamarack
