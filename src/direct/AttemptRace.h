#pragma once

#include <vector>

namespace tamarack {

class UpstreamAttempt;

/// Lets exactly one of the concurrent attempts of a request deliver its response.
class AttemptRace
{
public:
    void add(UpstreamAttempt &attempt) { m_attempts.push_back(&attempt); }
    /// Whether the attempt may deliver: the first that asks may, and the others are cancelled.
    bool tryWin(UpstreamAttempt &attempt);
    const UpstreamAttempt *winner() const { return m_winner; }
    /// Whether another attempt may still deliver instead.
    bool isContested() const { return !m_winner && m_attempts.size() > 1; }

private:
    std::vector<UpstreamAttempt *> m_attempts;
    UpstreamAttempt *m_winner = nullptr;
};

} // namespace tamarack
