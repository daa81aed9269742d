#pragma once

#include <string>

namespace tamarack::standin {

/// Value of a header in the text of a request's head; empty if it is not there. For stand-ins that
/// speak raw bytes.
std::string headerOf(const std::string &request, const std::string &name);

} // namespace tamarack::standin
