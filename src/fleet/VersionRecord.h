#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <boost/json/value.hpp>

namespace tamarack {

/// A software version of the upstreams of a service.
struct ServiceVersion
{
    std::string service;
    std::string version;

    auto operator<=>(const ServiceVersion &) const = default;
};

/// Services whose streams may all have begun at one version, and that version.
using SoleVersions = std::map<std::string, std::string>;

/// The versions at which streams may have begun lately. One object of the store holds it for all
/// entries, so that it is known after all of them were killed.
struct VersionRecord
{
    /// Era of the store in which an entry has confirmed the record. Versions that were recorded
    /// shortly before a restore may be missing until then.
    std::uint64_t era = 0;
    /// Streams may also have begun at versions that are not recorded.
    bool isPastUnknown = false;
    std::set<ServiceVersion> versions;

    bool operator==(const VersionRecord &) const = default;
};

boost::json::value encodeVersionRecord(const VersionRecord &record);
/// Returns none if the content has another form.
std::optional<VersionRecord> decodeVersionRecord(const boost::json::value &content);

} // namespace tamarack
