#pragma once

#include <string>
#include <string_view>

namespace tamarack {

/// `name="value"` for a series of `Metrics`, in which the value may hold any
/// bytes. Of a value longer than 256 bytes, these.
std::string metricLabel(std::string_view name, std::string_view value);

} // namespace tamarack
