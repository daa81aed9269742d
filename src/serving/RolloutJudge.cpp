#include "serving/RolloutJudge.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace tamarack {

namespace {

/// Time between two points of the history.
constexpr milliseconds historyStep{200};
/// Fewer bad answers prove nothing.
constexpr std::uint64_t leastBad = 6;
/// One faulty upstream is not the version, unless it has given this many bad answers.
constexpr int leastUpstreams = 2;
constexpr std::uint64_t manyBad = 30;
/// By how much the share of bad answers must exceed the former version's.
constexpr double failureExcess = 0.1;
constexpr double slowExcess = 0.25;
/// The same in standard deviations. The entries test some hundred times in an order.
constexpr double leastDeviations = 4.5;

RolloutJudge::Side operator-(const RolloutJudge::Side &a, const RolloutJudge::Side &b)
{
    return {a.answers - std::min(a.answers, b.answers),
            a.failures - std::min(a.failures, b.failures), a.slow - std::min(a.slow, b.slow)};
}

RolloutJudge::Side &operator+=(RolloutJudge::Side &sum, const RolloutJudge::Side &side)
{
    sum.answers += side.answers;
    sum.failures += side.failures;
    sum.slow += side.slow;
    return sum;
}

} // namespace

void RolloutJudge::apply(Incarnation process, const RolloutEvidence &evidence)
{
    const auto found = m_evidence.find(process);
    if (found == m_evidence.end()) {
        if (m_evidence.size() < maxProcesses)
            m_evidence.emplace(process, evidence);
        return;
    }
    RolloutEvidence &known = found->second;
    known.failedUpstreams |= evidence.failedUpstreams;
    known.slowUpstreams |= evidence.slowUpstreams;
    for (const RolloutTally &tally : evidence.tallies) {
        const auto row = std::ranges::find_if(known.tallies, [&](const RolloutTally &each) {
            return each.isNew == tally.isNew && each.routeTier == tally.routeTier;
        });
        if (row == known.tallies.end())
            known.tallies.push_back(tally);
        else if (tally.answers > row->answers)
            *row = tally;
    }
}

RolloutJudge::Totals RolloutJudge::totals() const
{
    Totals totals;
    for (const auto &[process, evidence] : m_evidence) {
        for (const RolloutTally &tally : evidence.tallies) {
            KindTotals &kind = totals[tally.routeTier];
            (tally.isNew ? kind.current : kind.former) +=
                Side{tally.answers, tally.failures, tally.slow};
        }
    }
    return totals;
}

RolloutJudge::Side RolloutJudge::total(bool isNew) const
{
    Side sum;
    for (const auto &[tier, kind] : totals())
        sum += isNew ? kind.current : kind.former;
    return sum;
}

std::uint64_t RolloutJudge::recentAnswers() const
{
    std::uint64_t before = 0;
    if (!m_history.empty())
        for (const auto &[tier, kind] : m_history.front().second)
            before += kind.current.answers;
    return total(true).answers - before;
}

bool RolloutJudge::exceeds(const Side &current, const Side &former, std::uint64_t Side::*count,
                           double leastExcess, int upstreams)
{
    const std::uint64_t bad = current.*count;
    if (bad < leastBad || (upstreams < leastUpstreams && bad < manyBad))
        return false;
    const auto answers = static_cast<double>(current.answers);
    const auto formerAnswers = static_cast<double>(std::max<std::uint64_t>(1, former.answers));
    const double share = static_cast<double>(bad) / answers;
    const double formerShare = static_cast<double>(former.*count) / formerAnswers;
    if (share - formerShare < leastExcess)
        return false;
    const double pooled = static_cast<double>(bad + former.*count) / (answers + formerAnswers);
    const double variance = pooled * (1 - pooled) * (1 / answers + 1 / formerAnswers);
    return share - formerShare > leastDeviations * std::sqrt(std::max(0.0, variance));
}

bool RolloutJudge::differs(const Totals &now, const Totals &since) const
{
    std::uint64_t failed = 0;
    std::uint64_t slow = 0;
    for (const auto &[process, evidence] : m_evidence) {
        failed |= evidence.failedUpstreams;
        slow |= evidence.slowUpstreams;
    }
    KindTotals all;
    const auto isWorse = [&](const KindTotals &kind) {
        return exceeds(kind.current, kind.former, &Side::failures, failureExcess,
                       std::popcount(failed))
               || exceeds(kind.current, kind.former, &Side::slow, slowExcess, std::popcount(slow));
    };
    for (const auto &[tier, kind] : now) {
        const auto before = since.find(tier);
        KindTotals recent = kind;
        if (before != since.end())
            recent = {kind.former - before->second.former, kind.current - before->second.current};
        if (isWorse(recent))
            return true;
        all.former += recent.former;
        all.current += recent.current;
    }
    return isWorse(all);
}

bool RolloutJudge::isBad(BootTime now)
{
    if (m_bad)
        return true;
    const Totals current = totals();
    if (m_history.empty() || now - m_history.back().first >= historyStep)
        m_history.emplace_back(now, current);
    while (m_history.size() > 1 && now - m_history[1].first >= window)
        m_history.pop_front();
    m_bad = differs(current, {}) || differs(current, m_history.front().second);
    return m_bad;
}

} // namespace tamarack
