#pragma once

#include <cstdint>
#include <string_view>

namespace tamarack {

/// The process that responds at the address of an upstream, compared with the incarnation that the
/// store lists.
enum class ProcessIdentity : std::uint8_t {
    AsListed,
    /// Another incarnation or another upstream.
    Other,
    /// It does not report its start.
    NotReported,
    /// It was late to respond.
    Silent,
    /// The connection ended before it responded.
    Lost,
};

std::string_view processIdentityName(ProcessIdentity identity);

} // namespace tamarack
