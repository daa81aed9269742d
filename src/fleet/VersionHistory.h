#pragma once

#include "base/Time.h"
#include "fleet/VersionRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace tamarack {

/// Decides what the record of versions in the store has to hold, and for which services it proves
/// that all streams of the last while began at one version.
///
/// Entries that all start at the same time know no stream. Clients then take up as many streams as
/// were running, while the number of versions is small and changes rarely. Each entry lets the
/// record hold a version before it sends requests to upstreams of that version; a version leaves
/// the record only after the streams that it may have begun have ended.
class VersionHistory
{
public:
    /// Applies the record as the store has it in `era`; none if there is none that can be read.
    void applyRecord(const std::optional<VersionRecord> &record, std::uint64_t era, TimePoint now);
    /// The store has neither a record nor any trace of earlier streams.
    void noteNoPast() { m_knowsPast = true; }
    /// The list of upstreams has been confirmed; to be called at least each `longestGap`.
    void confirmList(TimePoint now);
    /// The upstreams that are listed now have these versions.
    void recordListed(std::set<ServiceVersion> listed, TimePoint now);
    /// The version was listed, and may not be any more.
    void recordSeen(const ServiceVersion &version, TimePoint now);

    /// Streams that began at the service `from` may be resumed at `to`.
    void recordMove(const std::string &from, const std::string &to, TimePoint now);

    /// Whether a record has been applied since the start.
    bool isRead() const { return m_isRead; }
    /// The record that the store needs in this era; none if it has it, or has not been asked.
    std::optional<VersionRecord> extended(std::uint64_t era) const;
    /// The record without what it need not hold any longer; none if there is nothing of that kind.
    std::optional<VersionRecord> trimmed(TimePoint now) const;
    /// What the record proves in this era.
    SoleVersions soleVersions(std::uint64_t era) const;

    /// From when a version was listed last until no client takes up a stream of it: upstreams
    /// serve on for some seconds, and streams are taken up within their deadline.
    static constexpr std::chrono::seconds retention{120};
    /// An entry whose list is confirmed less often has been cut off or stood still, and may not
    /// know versions that others have used.
    static constexpr std::chrono::seconds longestGap{5};

private:
    std::set<ServiceVersion> known() const;

    bool m_isRead = false;
    std::optional<VersionRecord> m_record;
    std::set<ServiceVersion> m_listed;
    /// Versions that are recorded or were listed, and are not listed now.
    std::map<ServiceVersion, TimePoint> m_unlistedSince;
    std::optional<TimePoint> m_pastUnknownSince;
    std::optional<TimePoint> m_listedAt;
    /// No stream began at a version that is neither known here nor recorded.
    bool m_knowsPast = false;
};

} // namespace tamarack
