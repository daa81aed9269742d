#pragma once

#include <string>

namespace tamarack {

/// Kinds of the objects that entries write to the platform's store.

/// Registrations, one for each entry.
const std::string &entryKind();
/// Origins of streams, one object for each entry, and those that began after it was written.
const std::string &originKind();
const std::string &recentOriginKind();
/// The versions of all services, one object for all entries.
const std::string &versionKind();

} // namespace tamarack
