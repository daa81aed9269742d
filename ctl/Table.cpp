#include "Table.h"

#include <algorithm>

namespace tamarack::ctl {

namespace {

constexpr std::size_t columnGap = 2;

} // namespace

std::string formatTable(const TableRows &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            text += row[column];
            if (column + 1 < row.size())
                text.append(widths[column] - row[column].size() + columnGap, ' ');
        }
        text += '\n';
    }
    return text;
}

} // namespace tamarack::ctl
