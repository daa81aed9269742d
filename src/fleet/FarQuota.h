#pragma once

namespace tamarack {

/// Part of the quotas that the entries of a fleet divided into exchange groups may use. The rest is
/// a margin for what the other groups have admitted in the fifth of a second between far reports.
constexpr double farQuotaShare = 0.97;

} // namespace tamarack
