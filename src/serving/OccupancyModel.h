#pragma once

#include "base/Time.h"
#include "serving/UpstreamKey.h"
#include "serving/UpstreamOccupancy.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace tamarack {

/// What one entry reports to the others of an upstream's last statement.
struct ReportedOccupancy
{
    UpstreamKey upstream = 0;
    UpstreamOccupancy stated;
    /// Time since the answer that carried the statement was read.
    milliseconds age{};

    bool operator==(const ReportedOccupancy &) const = default;
};

/// Estimates how many requests one upstream has now, and how fast it works, from its last statement
/// and the requests that entries count there.
///
/// Many entries start requests at the same upstreams. Their counts reach one another some 100 ms
/// late, as long as short requests take, so that in a burst some upstreams queue while others
/// stand free. A statement corrects the count; the correction fades while the counts catch up with
/// what the upstream saw. Hosts that upstreams share with others slow them down for moments of some
/// 100 ms by a factor of 2 and more. Without a statement, the count holds.
class OccupancyModel
{
public:
    /// Records a statement read at `readAt`, if it is the newest. `counted`: the requests that this
    /// entry counts there now. Returns false if a newer statement is known.
    bool record(const UpstreamOccupancy &stated, TimePoint readAt, std::uint32_t counted, bool own);

    bool hasReading() const { return m_stated.has_value(); }
    /// Age of the last statement; none if there is none.
    std::optional<Duration> age(TimePoint now) const;

    /// Estimated number of requests there, of which `counted` are known, `own` of them certainly.
    std::uint32_t requests(std::uint32_t counted, std::uint32_t own, TimePoint now) const;
    /// Requests that it can run at once; `listed` without a recent statement.
    int slots(int listed, TimePoint now) const;
    /// Time that work takes there now, relative to its usual time.
    double slowness(TimePoint now) const;

    /// The last statement, if this entry read it recently.
    std::optional<ReportedOccupancy> report(UpstreamKey upstream, TimePoint now) const;

    /// After this time a statement of the number of requests says no more than the counts.
    static constexpr milliseconds readingLife{200};
    /// After this time an upstream is expected to work at its usual pace again.
    static constexpr milliseconds paceLife{600};
    /// After this time the listed number of slots holds again.
    static constexpr milliseconds slotsLife{3000};

private:
    void learnUsualPace(double pace);

    std::optional<UpstreamOccupancy> m_stated;
    TimePoint m_readAt{};
    bool m_readHere = false;
    /// Requests stated minus requests counted at that time.
    double m_correction = 0;
    /// Pace in moments without a slowdown; none before the first statement.
    std::optional<double> m_usualPace;
};

/// The position of an entry among those that may start requests at an upstream.
///
/// Entries that know the same free place would all start a request there. Each upstream ranks the
/// entries by a hash of both names, so that the places of one upstream belong to some entries and
/// the places of another to others. An entry that uses a place beyond those that are its own
/// expects to wait behind the entries that rank before it.
struct EntryRank
{
    /// Entries ranked before this one.
    std::uint32_t before = 0;

    /// Number of entries that rank before this one and have no free place of their own there.
    std::uint32_t contenders(std::uint32_t freePlaces) const
    {
        return before < freePlaces ? 0 : before - freePlaces + 1;
    }
};

} // namespace tamarack
