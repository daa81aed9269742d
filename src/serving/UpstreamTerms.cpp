#include "serving/UpstreamTerms.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace tamarack {

namespace {

/// The end of a limit is told for this long, and again while another entry tells the limit.
constexpr std::chrono::seconds endTold{20};
constexpr double windowSeconds = std::chrono::duration<double>(UpstreamTerms::window).count();
/// An upstream that takes next to nothing is sent one request a window: only answers tell that its
/// limit has ended.
constexpr double leastSends = 1;

} // namespace

UpstreamTerms::Limit UpstreamTerms::limitOf(const HeardTerms &heard)
{
    const auto &limit = heard.terms.limit;
    return limit ? Limit{limit->perSecond, heard.toldAt - limit->age} : Limit{};
}

bool UpstreamTerms::hear(const UpstreamStatement &statement, TimePoint sentAt, TimePoint now)
{
    if (statement.malformed)
        return false;
    const bool mayBeOlder = isLimited() && sentAt <= m_newest.heardAt;
    if (!statement.limitPerSecond && (mayBeOlder || !isLimited()))
        return false;
    m_heard = {statement.limitPerSecond, now};
    m_heardHere = true;
    return renew();
}

bool UpstreamTerms::setTold(std::vector<HeardTerms> told)
{
    const auto tellsOn = [&told](const HeardTerms &before) {
        return std::ranges::any_of(told, [&before](const HeardTerms &each) {
            return each.teller == before.teller && each.terms.limit;
        });
    };
    // What an entry has told holds on when it tells it no longer.
    for (const HeardTerms &before : m_told) {
        const Limit limit = limitOf(before);
        if (limit.heardAt > m_heard.heardAt && !tellsOn(before)) {
            m_heard = limit;
            m_heardHere = false;
        }
    }
    m_told = std::move(told);
    return renew();
}

bool UpstreamTerms::renew()
{
    Limit newest = m_heard;
    for (const HeardTerms &each : m_told) {
        const Limit limit = limitOf(each);
        if (limit.heardAt > newest.heardAt)
            newest = limit;
    }
    const auto before = std::exchange(m_newest, newest).perSecond;
    return before != m_newest.perSecond;
}

bool UpstreamTerms::admits(TimePoint now) const
{
    if (!isLimited())
        return true;
    if (m_share <= 0 || now < m_nextSend)
        return false;
    const double most = std::max(leastSends, *m_newest.perSecond * windowSeconds);
    return recentSends(now) + 1 <= most;
}

void UpstreamTerms::countSend(TimePoint now)
{
    std::erase_if(m_sends, [now](TimePoint sent) { return now - sent >= window; });
    m_sends.push_back(now);
    if (!isLimited() || m_share <= 0)
        return;
    // Up to one send is caught up after a pause.
    const std::chrono::duration<double> pause(std::min(windowSeconds, 1 / m_share));
    const auto interval = std::chrono::duration_cast<Duration>(pause);
    m_nextSend = std::max(m_nextSend, now - interval) + interval;
}

std::uint32_t UpstreamTerms::ownSends(TimePoint now) const
{
    return static_cast<std::uint32_t>(
        std::ranges::count_if(m_sends, [now](TimePoint sent) { return now - sent < window; }));
}

std::uint32_t UpstreamTerms::recentSends(TimePoint now) const
{
    return std::accumulate(
        m_told.begin(), m_told.end(), ownSends(now), [now](std::uint32_t sum, const auto &each) {
            return now - each.toldAt < window ? sum + each.terms.recentSends : sum;
        });
}

bool UpstreamTerms::isContradicted() const
{
    return std::ranges::any_of(m_told, [this](const HeardTerms &each) {
        return each.terms.limit && each.terms.limit->perSecond != m_newest.perSecond;
    });
}

std::optional<ToldTerms> UpstreamTerms::told(UpstreamKey upstream, TimePoint now) const
{
    ToldTerms terms{upstream, std::nullopt, 0};
    const Duration age = now - m_heard.heardAt;
    const bool isNewest = m_heardHere && m_heard.heardAt == m_newest.heardAt;
    if (isNewest && (isLimited() || age < endTold || isContradicted()))
        terms.limit = ToldLimit{m_heard.perSecond, std::chrono::duration_cast<milliseconds>(age)};
    if (isLimited())
        terms.recentSends = ownSends(now);
    if (!terms.limit && terms.recentSends == 0)
        return std::nullopt;
    return terms;
}

} // namespace tamarack
