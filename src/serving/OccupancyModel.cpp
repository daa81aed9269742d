#include "serving/OccupancyModel.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

/// Weights with which a statement changes the usual pace. Other work on the host only ever slows
/// an upstream down, so that a faster pace is the better evidence of the usual one.
constexpr double fasterWeight = 0.3;
constexpr double slowerWeight = 0.01;
constexpr double maxSlowness = 20;
/// Requests that are counted but on their way, so that the upstream does not state them.
constexpr double mostOnTheirWay = 2;

/// Part of a fact that still holds at this age, if it is wholly superseded after `life`.
double remaining(Duration age, Duration life)
{
    const double part = toFractionalMs(age) / toFractionalMs(life);
    return std::clamp(1 - part, 0.0, 1.0);
}

} // namespace

bool OccupancyModel::record(const UpstreamOccupancy &stated, TimePoint readAt,
                            std::uint32_t counted, bool own)
{
    if (m_stated && readAt <= m_readAt)
        return false;
    m_stated = stated;
    m_readAt = readAt;
    m_readHere = own;
    const double excess = static_cast<double>(stated.requests()) - counted;
    m_correction = excess < 0 ? std::min(0.0, excess + mostOnTheirWay) : excess;
    if (stated.pace)
        learnUsualPace(*stated.pace);
    return true;
}

void OccupancyModel::learnUsualPace(double pace)
{
    const double usual = m_usualPace.value_or(pace);
    m_usualPace = usual + (pace < usual ? fasterWeight : slowerWeight) * (pace - usual);
}

std::optional<Duration> OccupancyModel::age(TimePoint now) const
{
    return m_stated ? std::optional(now - m_readAt) : std::nullopt;
}

std::uint32_t OccupancyModel::requests(std::uint32_t counted, std::uint32_t own,
                                       TimePoint now) const
{
    if (!m_stated)
        return counted;
    const double estimate = counted + m_correction * remaining(now - m_readAt, readingLife);
    return static_cast<std::uint32_t>(std::max<double>(own, std::round(estimate)));
}

int OccupancyModel::slots(int listed, TimePoint now) const
{
    return m_stated && now - m_readAt < slotsLife ? static_cast<int>(m_stated->slots) : listed;
}

double OccupancyModel::slowness(TimePoint now) const
{
    if (!m_stated || !m_stated->pace)
        return 1;
    const double ratio = std::clamp(*m_stated->pace / *m_usualPace, 1 / maxSlowness, maxSlowness);
    return 1 + (ratio - 1) * remaining(now - m_readAt, paceLife);
}

std::optional<ReportedOccupancy> OccupancyModel::report(UpstreamKey upstream, TimePoint now) const
{
    if (!m_stated || !m_readHere || now - m_readAt >= readingLife)
        return std::nullopt;
    return ReportedOccupancy{upstream, *m_stated,
                             std::chrono::duration_cast<milliseconds>(now - m_readAt)};
}

} // namespace tamarack
