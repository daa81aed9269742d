#pragma once

#include <string>
#include <vector>

namespace tamarack::ctl {

/// Rows of text printed in aligned columns; the first row is the heading.
using TableRows = std::vector<std::vector<std::string>>;

std::string formatTable(const TableRows &rows);

} // namespace tamarack::ctl
