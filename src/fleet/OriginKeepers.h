#pragma once

#include "serving/StreamOrigin.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/// Chooses the entries that keep the origin of a stream, by rendezvous hashing over `names`.
///
/// All entries choose alike, so that the entry at which a client takes its stream up finds the
/// origin without any entry knowing all streams. Fewer than `count` if there are not as many names.
std::vector<std::string> originKeepers(StreamKey stream, const std::set<std::string> &names,
                                       std::size_t count);

/// Number of entries, besides the one that serves the stream, to which its origin is reported.
constexpr std::size_t keepersOfOrigin = 2;

} // namespace tamarack
