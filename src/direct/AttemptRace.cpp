#include "direct/AttemptRace.h"

#include "direct/UpstreamAttempt.h"

namespace tamarack {

bool AttemptRace::tryWin(UpstreamAttempt &attempt)
{
    if (m_winner)
        return m_winner == &attempt;
    m_winner = &attempt;
    for (UpstreamAttempt *other : m_attempts)
        if (other != &attempt)
            other->cancel();
    return true;
}

} // namespace tamarack
