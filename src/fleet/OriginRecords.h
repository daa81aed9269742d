#pragma once

#include "serving/StreamOrigin.h"

#include <span>
#include <vector>

#include <boost/json/value.hpp>

namespace tamarack {

/// The origins of an entry's streams as the content of its object in the store, by upstream.
/// Ambiguous ones are left out.
boost::json::value encodeOrigins(std::span<const StreamOrigin> origins);
/// Returns the origins that can be read; the content may be of any form.
std::vector<StreamOrigin> decodeOrigins(const boost::json::value &content);

} // namespace tamarack
